#include "damasklink/state/CompactCodec.h"

#include <array>
#include <bit>

namespace damasklink {
namespace {

constexpr std::uint64_t kSevenBits = 0x7F;
constexpr std::uint64_t kMoreFollows = 0x80;
constexpr int kBitsPerByte = 7;
constexpr int kMostShift = 63;
constexpr std::size_t kRealBytes = 8;
constexpr int kOctet = 8;

} // namespace

CompactWriter&
CompactWriter::Number(std::uint64_t aNumber)
{
  while (aNumber > kSevenBits) {
    this->bytes.push_back(static_cast<char>((aNumber & kSevenBits) | kMoreFollows));
    aNumber >>= kBitsPerByte;
  }
  this->bytes.push_back(static_cast<char>(aNumber));
  return *this;
}

CompactWriter&
CompactWriter::Real(double aNumber)
{
  auto bits = std::bit_cast<std::uint64_t>(aNumber);
  for (std::size_t index = 0; index < kRealBytes; ++index) {
    this->bytes.push_back(static_cast<char>(bits));
    bits >>= kOctet;
  }
  return *this;
}

CompactWriter&
CompactWriter::Text(std::string_view aText)
{
  this->Number(aText.size());
  return this->Raw(aText);
}

CompactWriter&
CompactWriter::Raw(std::string_view aBytes)
{
  this->bytes.append(aBytes);
  return *this;
}

std::uint64_t
CompactReader::Number()
{
  std::uint64_t number = 0;
  for (int shift = 0; shift <= kMostShift; shift += kBitsPerByte) {
    if (this->rest.empty()) {
      break;
    }
    const auto byte = static_cast<unsigned char>(this->rest.front());
    this->rest.remove_prefix(1);
    number |= (byte & kSevenBits) << shift;
    if ((byte & kMoreFollows) == 0) {
      return number;
    }
  }
  this->MarkBad();
  return 0;
}

double
CompactReader::Real()
{
  const std::string_view raw = this->Raw(kRealBytes);
  std::uint64_t bits = 0;
  for (auto position = raw.rbegin(); position != raw.rend(); ++position) {
    bits = (bits << kOctet) | static_cast<unsigned char>(*position);
  }
  return std::bit_cast<double>(bits);
}

std::string_view
CompactReader::Text()
{
  return this->Raw(this->Number());
}

std::string_view
CompactReader::Raw(std::size_t aCount)
{
  if (aCount > this->rest.size()) {
    this->MarkBad();
    return {};
  }
  const std::string_view text = this->rest.substr(0, aCount);
  this->rest.remove_prefix(aCount);
  return text;
}

std::size_t
CompactReader::Count()
{
  const std::uint64_t count = this->Number();
  if (count > this->rest.size()) {
    this->MarkBad();
    return 0;
  }
  return count;
}

void
CompactReader::MarkBad()
{
  this->bad = true;
  this->rest = {};
}

} // namespace damasklink
