// The one folder that survives a restart: the replica's identity and a folder for each group.
#pragma once

#include <memory>
#include <string>

#include "damasklink/state/Disk.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

// An opened data folder.
struct DataFolder
{
  std::string path;
  // Drawn when the folder was empty, the same for as long as it lives.
  ReplicaId replica;

  // Returns where the files of a group lie.
  std::string GroupFolder(const GroupId& aGroup) const;
};

// Opens the folder and creates it, with the identity aFresh, when it is missing or empty. Requires
// that aFresh is random and not zero. Fails with Corrupt when groups are there but no identity.
Result<DataFolder>
OpenDataFolder(Disk& aDisk, const std::string& aPath, ReplicaId aFresh);

} // namespace damasklink
