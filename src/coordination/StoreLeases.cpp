#include "damasklink/coordination/StoreLeases.h"

#include <vector>

#include "damasklink/state/Text.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace damasklink {
namespace {

// Writes a field as a length-prefixed string, so that it may contain any character.
void
AppendField(std::string& aTo, std::string_view aField)
{
  aTo += Concat(aField.size(), ":", aField);
}

// Reads fields written by AppendField() in order. After a malformed field every read fails.
class FieldParser
{
public:
  explicit FieldParser(std::string_view aBytes)
    : rest(aBytes)
  {
  }

  bool AtEnd() const { return this->rest.empty(); }
  bool Failed() const { return this->failed; }

  std::string Text()
  {
    const std::size_t colon = this->rest.find(':');
    std::size_t size = 0;
    if (colon == std::string_view::npos ||
        !absl::SimpleAtoi(ForAbsl(this->rest.substr(0, colon)), &size) ||
        size > this->rest.size() - colon - 1) {
      this->failed = true;
      this->rest = {};
      return {};
    }
    std::string text(this->rest.substr(colon + 1, size));
    this->rest.remove_prefix(colon + 1 + size);
    return text;
  }

  std::int64_t Number()
  {
    std::int64_t number = 0;
    this->failed = !absl::SimpleAtoi(this->Text(), &number) || this->failed;
    return number;
  }

private:
  std::string_view rest;
  bool failed = false;
};

auto
MalformedLease()
{
  return Fail(ErrorKind::Corrupt,
              "malformed store lease",
              "run hosts whose versions differ by at most one release");
}

void
AppendLease(std::string& aTo, const StoreLease& aLease)
{
  AppendField(aTo, aLease.owner.Value());
  AppendField(aTo, Concat(aLease.fencing.Value()));
  AppendField(aTo, Concat(static_cast<std::int64_t>(aLease.until.time_since_epoch().count())));
}

StoreLease
ReadLease(FieldParser& aParser)
{
  StoreLease lease;
  lease.owner = HostId(aParser.Text());
  lease.fencing = FencingNumber(static_cast<std::uint64_t>(aParser.Number()));
  lease.until = WallTime(WallTime::duration(aParser.Number()));
  return lease;
}

} // namespace

std::string
EncodeLeaseCommand(const LeaseCommand& aCommand)
{
  std::string bytes;
  AppendField(bytes, aCommand.store.Value());
  AppendField(bytes, aCommand.host.Value());
  AppendField(bytes, Concat(static_cast<std::int64_t>(aCommand.length.count())));
  return bytes;
}

Result<LeaseCommand>
DecodeLeaseCommand(std::string_view aBytes)
{
  FieldParser parser(aBytes);
  LeaseCommand command;
  command.store = StoreId(parser.Text());
  command.host = HostId(parser.Text());
  command.length = Duration(parser.Number());
  if (parser.Failed() || !parser.AtEnd() || command.store.Empty() || command.host.Empty()) {
    return MalformedLease();
  }
  return command;
}

std::string
EncodeLease(const StoreLease& aLease)
{
  std::string bytes;
  AppendLease(bytes, aLease);
  return bytes;
}

Result<StoreLease>
DecodeLease(std::string_view aBytes)
{
  FieldParser parser(aBytes);
  StoreLease lease = ReadLease(parser);
  if (parser.Failed() || !parser.AtEnd()) {
    return MalformedLease();
  }
  return lease;
}

std::string
StoreLeases::Apply(const ApplyContext& aContext, std::string_view aCommand)
{
  const auto decoded = DecodeLeaseCommand(aCommand);
  if (!decoded) {
    return {};
  }
  const LeaseCommand& command = decoded.value();
  StoreLease& lease = this->leases[command.store];
  const bool isOwner = lease.owner == command.host;
  const bool expired = lease.until <= aContext.proposedAt;
  if (command.length <= Duration(0)) {
    if (isOwner) {
      lease.until = aContext.proposedAt;
    }
  } else if (isOwner || expired) {
    // After the lease has expired, other hosts may have acted even if the owner is the same.
    if (!isOwner || expired) {
      lease.fencing = lease.fencing.Next();
    }
    lease.owner = command.host;
    lease.until =
      aContext.proposedAt + std::chrono::duration_cast<WallTime::duration>(command.length);
  }
  return EncodeLease(lease);
}

std::string
StoreLeases::Save() const
{
  std::string bytes;
  for (const auto& [store, lease] : this->leases) {
    AppendField(bytes, store.Value());
    AppendLease(bytes, lease);
  }
  return bytes;
}

Result<void>
StoreLeases::Load(std::string_view aSnapshot)
{
  std::map<StoreId, StoreLease> loaded;
  FieldParser parser(aSnapshot);
  while (!parser.AtEnd()) {
    const StoreId store(parser.Text());
    loaded[store] = ReadLease(parser);
  }
  if (parser.Failed()) {
    return MalformedLease();
  }
  this->leases = std::move(loaded);
  return Success();
}

std::optional<StoreLease>
StoreLeases::Find(const StoreId& aStore) const
{
  const auto found = this->leases.find(aStore);
  return found == this->leases.end() ? std::nullopt : std::make_optional(found->second);
}

} // namespace damasklink
