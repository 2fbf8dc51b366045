#include "damasklink/state/DataFolder.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>

#include "LogFiles.h"
#include "damasklink/state/Bytes.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr const char* kIdentityName = "identity";
constexpr const char* kGroupsName = "groups";

Result<ReplicaId>
ReadIdentity(Disk& aDisk, const std::string& aPath)
{
  auto bytes = aDisk.Read(aPath);
  if (!bytes) {
    return Fail(bytes.error());
  }
  auto payload = internal::DecodeWholeFile(aPath, bytes.value());
  if (!payload) {
    return Fail(payload.error());
  }
  ByteReader reader(payload.value());
  const ReplicaId replica(reader.Number());
  if (!reader.Finished() || replica == ReplicaId()) {
    return internal::CorruptFile(aPath, "holds no identity");
  }
  return replica;
}

Result<void>
WriteIdentity(Disk& aDisk, const std::string& aFolder, ReplicaId aReplica)
{
  const std::string path = Concat(aFolder, "/", kIdentityName);
  const std::string fresh = path + ".new";
  if (auto removed = aDisk.Remove(fresh); !removed) {
    return removed;
  }
  auto file = aDisk.Open(fresh);
  if (!file) {
    return Fail(file.error());
  }
  ByteWriter writer;
  writer.Number(aReplica.Value());
  if (auto put = file.value()->Append(internal::EncodeWholeFile(writer.Take())); !put) {
    return put;
  }
  if (auto synced = file.value()->Sync(); !synced) {
    return synced;
  }
  if (auto renamed = aDisk.Rename(fresh, path); !renamed) {
    return renamed;
  }
  return aDisk.SyncFolder(aFolder);
}

} // namespace

std::string
DataFolder::GroupFolder(const GroupId& aGroup) const
{
  std::string name;
  for (const char letter : aGroup.Value()) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(letter)) || letter == '-') {
      name.push_back(letter);
    } else {
      name.append(absl::StrFormat("%%%02x", static_cast<unsigned char>(letter)));
    }
  }
  return Concat(this->path, "/", kGroupsName, "/", name);
}

Result<DataFolder>
OpenDataFolder(Disk& aDisk, const std::string& aPath, ReplicaId aFresh)
{
  if (auto made = aDisk.MakeFolder(aPath); !made) {
    return Fail(made.error());
  }
  auto names = aDisk.List(aPath);
  if (!names) {
    return Fail(names.error());
  }
  const auto has = [&](const char* aName) {
    return std::find(names.value().begin(), names.value().end(), aName) != names.value().end();
  };
  if (has(kIdentityName)) {
    auto replica = ReadIdentity(aDisk, Concat(aPath, "/", kIdentityName));
    if (!replica) {
      return Fail(replica.error());
    }
    return DataFolder{ aPath, replica.value() };
  }
  if (has(kGroupsName)) {
    return internal::CorruptFile(aPath, "holds groups but no identity");
  }
  if (auto written = WriteIdentity(aDisk, aPath, aFresh); !written) {
    return Fail(written.error());
  }
  return DataFolder{ aPath, aFresh };
}

} // namespace damasklink
