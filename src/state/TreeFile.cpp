#include "damasklink/state/TreeFile.h"

#include <algorithm>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::string_view kName = "configuration.tree";
constexpr std::string_view kMagic = "DLCT";
constexpr std::uint32_t kVersion = 1;

Error
Damaged(const std::string& aPath)
{
  return Error{ ErrorKind::Corrupt,
                Concat(aPath, " is damaged"),
                "remove the file; the host takes the tree from its peers" };
}

} // namespace

TreeFile::TreeFile(Disk& aDisk, std::string aFolder)
  : disk(aDisk)
  , folder(std::move(aFolder))
  , path(Concat(this->folder, "/", kName))
{
}

Result<RevisionedTree>
TreeFile::Read() const
{
  auto names = this->disk.List(this->folder);
  if (!names) {
    return Fail(names.error());
  }
  if (std::find(names.value().begin(), names.value().end(), kName) == names.value().end()) {
    return RevisionedTree();
  }
  auto bytes = this->disk.Read(this->path);
  if (!bytes) {
    return Fail(bytes.error());
  }
  if (!bytes.value().starts_with(kMagic)) {
    return Fail(Damaged(this->path));
  }
  ByteReader header(std::string_view(bytes.value()).substr(kMagic.size()));
  const std::uint32_t version = header.Number32();
  const std::uint32_t checksum = header.Number32();
  const std::string packed = header.Text();
  if (header.Ok() && version != kVersion) {
    return Fail(ErrorKind::InvalidArgument,
                Concat(this->path, " has version ", version),
                "run the program version that wrote it, or remove the file");
  }
  CompactReader reader(packed);
  RevisionedTree tree = RevisionedTree::Unpack(reader);
  if (!header.Finished() || Crc32c(packed) != checksum || !reader.AtCleanEnd()) {
    return Fail(Damaged(this->path));
  }
  return tree;
}

Result<void>
TreeFile::Write(const RevisionedTree& aTree)
{
  CompactWriter packer;
  aTree.Pack(packer);
  const std::string packed = std::move(packer).Take();
  ByteWriter writer;
  writer.Number32(kVersion);
  writer.Number32(Crc32c(packed));
  writer.Text(packed);
  const std::string fresh = Concat(this->path, ".new");
  if (auto made = this->disk.MakeFolder(this->folder); !made) {
    return made;
  }
  auto file = this->disk.Open(fresh);
  if (!file) {
    return Fail(file.error());
  }
  // A write that a kill broke off may have left a longer file.
  if (auto cut = this->disk.Truncate(fresh, 0); !cut) {
    return cut;
  }
  if (auto written = file.value()->Append(Concat(kMagic, writer.Take())); !written) {
    return written;
  }
  if (auto synced = file.value()->Sync(); !synced) {
    return synced;
  }
  if (auto renamed = this->disk.Rename(fresh, this->path); !renamed) {
    return renamed;
  }
  return this->disk.SyncFolder(this->folder);
}

} // namespace damasklink
