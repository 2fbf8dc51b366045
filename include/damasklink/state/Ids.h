// Strong types for ids, counts and units: two kinds of id never convert into each other.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace damasklink {

// A textual id whose kind is part of its type.
//
//   HostId host{ "hall-north-1" };
//   host.Value();  // "hall-north-1"
//
// Equality, order, hashing and printing follow the text. A default id is empty.
template<typename Tag>
class StringId
{
public:
  StringId() = default;
  explicit StringId(std::string aValue)
    : value(std::move(aValue))
  {
  }

  const std::string& Value() const { return this->value; }
  bool Empty() const { return this->value.empty(); }

  // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StringId&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const StringId& aId)
  {
    return H::combine(std::move(aState), aId.value);
  }

  friend std::ostream& operator<<(std::ostream& aOut, const StringId& aId)
  {
    return aOut << aId.value;
  }

private:
  std::string value;
};

// A counter whose kind is part of its type; starts at zero.
template<typename Tag>
class NumberId
{
public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t aValue)
    : value(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return this->value; }

  // Returns the number that follows this one.
  constexpr NumberId Next() const { return NumberId(this->value + 1); }

  // As above.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const NumberId&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const NumberId& aId)
  {
    return H::combine(std::move(aState), aId.value);
  }

  friend std::ostream& operator<<(std::ostream& aOut, const NumberId& aId)
  {
    return aOut << aId.value;
  }

private:
  std::uint64_t value = 0;
};

using HostId = StringId<struct HostIdTag>;
using ZoneId = StringId<struct ZoneIdTag>;
using RegionId = StringId<struct RegionIdTag>;
using WorkspaceId = StringId<struct WorkspaceIdTag>;
using TeamId = StringId<struct TeamIdTag>;
using TargetId = StringId<struct TargetIdTag>;
using StoreId = StringId<struct StoreIdTag>;
using ServiceName = StringId<struct ServiceNameTag>;
using ModelName = StringId<struct ModelNameTag>;
using WeightVersion = StringId<struct WeightVersionTag>;
// The version of the program that a target runs; unrelated to the weights of its models.
using SoftwareVersion = StringId<struct SoftwareVersionTag>;
using AdapterName = StringId<struct AdapterNameTag>;
using RequestId = StringId<struct RequestIdTag>;
using AttemptId = StringId<struct AttemptIdTag>;
using GroupId = StringId<struct GroupIdTag>;
using ChangeId = StringId<struct ChangeIdTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;
// Hex text of a SHA-256 digest.
using Digest = StringId<struct DigestTag>;

using Revision = NumberId<struct RevisionTag>;
using Term = NumberId<struct TermTag>;
using LogIndex = NumberId<struct LogIndexTag>;
using FencingNumber = NumberId<struct FencingNumberTag>;
// Counts the lives of a host or target: a restart has a higher one.
using Incarnation = NumberId<struct IncarnationTag>;
// Counts announcements or events within one incarnation.
using Sequence = NumberId<struct SequenceTag>;
// Counts the uses of one slot of a store.
using Generation = NumberId<struct GenerationTag>;
using TokenCount = NumberId<struct TokenCountTag>;
using ByteCount = NumberId<struct ByteCountTag>;

} // namespace damasklink

template<typename Tag>
struct std::hash<damasklink::StringId<Tag>>
{
  std::size_t operator()(const damasklink::StringId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Value());
  }
};

template<typename Tag>
struct std::hash<damasklink::NumberId<Tag>>
{
  std::size_t operator()(const damasklink::NumberId<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.Value());
  }
};
