// Plain binary encoding for files: little-endian numbers and texts with their length.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace damasklink {

// Appends values to a text.
//
//   ByteWriter writer;
//   writer.Number(7);
//   writer.Text("name");
//   Store(writer.Take());
class ByteWriter
{
public:
  void Byte(std::uint8_t aValue) { this->bytes.push_back(static_cast<char>(aValue)); }
  void Number(std::uint64_t aValue);
  void Number32(std::uint32_t aValue);
  void Text(std::string_view aValue);

  std::string Take() { return std::move(this->bytes); }

private:
  std::string bytes;
};

// Reads values in the order in which they were written. After the first value that does not fit,
// Ok() is false and all further values are zero or empty.
class ByteReader
{
public:
  explicit ByteReader(std::string_view aBytes)
    : rest(aBytes)
  {
  }

  std::uint8_t Byte();
  std::uint64_t Number();
  std::uint32_t Number32();
  std::string Text();

  // Returns whether all values so far were there.
  bool Ok() const { return this->ok; }
  // Returns whether all values were there and nothing is left.
  bool Finished() const { return this->ok && this->rest.empty(); }
  std::size_t Left() const { return this->rest.size(); }

private:
  std::string_view TakeBytes(std::size_t aCount);

  std::string_view rest;
  bool ok = true;
};

// Returns the CRC-32C of the bytes.
std::uint32_t
Crc32c(std::string_view aBytes);

} // namespace damasklink
