// The tree that a host keeps on its own disk, for a start while its zone is cut off.
//
// The log of the control group holds every change, but a replica applies only what a leader tells
// it to be committed; a zone that is cut off and restarted as a whole has no leader to ask.
#pragma once

#include "damasklink/state/Disk.h"
#include "damasklink/state/RevisionedTree.h"

namespace damasklink {

// One file, replaced as a whole. Form: magic "DLCT", version, CRC-32C and length of what follows,
// the packed tree, numbers as in Bytes.h.
class TreeFile
{
public:
  // Requires the disk to outlive this object.
  TreeFile(Disk& aDisk, std::string aFolder);

  // Returns the stored tree, an empty one where none was stored. Fails with Corrupt for a damaged
  // file and with InvalidArgument for another version, naming the file.
  Result<RevisionedTree> Read() const;

  // Returns once the tree survives a power loss; until then the former one does. Fails with
  // Storage.
  Result<void> Write(const RevisionedTree& aTree);

private:
  Disk& disk;
  std::string folder;
  std::string path;
};

} // namespace damasklink
