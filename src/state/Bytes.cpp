#include "damasklink/state/Bytes.h"

#include <boost/crc.hpp>

namespace damasklink {
namespace {

constexpr std::size_t kBitsInByte = 8;

std::uint64_t
ReadLittleEndian(std::string_view aBytes)
{
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < aBytes.size(); ++index) {
    const auto byte = static_cast<std::uint8_t>(aBytes[index]);
    value |= static_cast<std::uint64_t>(byte) << (kBitsInByte * index);
  }
  return value;
}

} // namespace

void
ByteWriter::Number(std::uint64_t aValue)
{
  for (std::size_t index = 0; index < sizeof(aValue); ++index) {
    this->Byte(static_cast<std::uint8_t>(aValue >> (kBitsInByte * index)));
  }
}

void
ByteWriter::Number32(std::uint32_t aValue)
{
  for (std::size_t index = 0; index < sizeof(aValue); ++index) {
    this->Byte(static_cast<std::uint8_t>(aValue >> (kBitsInByte * index)));
  }
}

void
ByteWriter::Text(std::string_view aValue)
{
  this->Number32(static_cast<std::uint32_t>(aValue.size()));
  this->bytes.append(aValue);
}

std::string_view
ByteReader::TakeBytes(std::size_t aCount)
{
  if (!this->ok || aCount > this->rest.size()) {
    this->ok = false;
    return {};
  }
  const std::string_view taken = this->rest.substr(0, aCount);
  this->rest.remove_prefix(aCount);
  return taken;
}

std::uint8_t
ByteReader::Byte()
{
  return static_cast<std::uint8_t>(ReadLittleEndian(this->TakeBytes(1)));
}

std::uint64_t
ByteReader::Number()
{
  return ReadLittleEndian(this->TakeBytes(sizeof(std::uint64_t)));
}

std::uint32_t
ByteReader::Number32()
{
  return static_cast<std::uint32_t>(ReadLittleEndian(this->TakeBytes(sizeof(std::uint32_t))));
}

std::string
ByteReader::Text()
{
  const std::uint32_t length = this->Number32();
  return std::string(this->TakeBytes(length));
}

std::uint32_t
Crc32c(std::string_view aBytes)
{
  constexpr std::uint32_t kCastagnoli = 0x1EDC6F41;
  constexpr std::uint32_t kAllOnes = 0xFFFFFFFF;
  boost::crc_optimal<32, kCastagnoli, kAllOnes, kAllOnes, true, true> crc;
  crc.process_bytes(aBytes.data(), aBytes.size());
  return crc.checksum();
}

} // namespace damasklink
