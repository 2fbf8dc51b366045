#include "damasklink/state/Disk.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "damasklink/state/Settings.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

namespace fs = std::filesystem;

constexpr mode_t kFileMode = 0600;

std::string_view
RemedyFor(int aCode)
{
  switch (aCode) {
    case ENOSPC:
    case EDQUOT:
      return "free space on the disk of the data folder and start the host again";
    case EACCES:
    case EPERM:
    case EROFS:
      return "let the user of this process write to the data folder";
    default:
      return "check the disk; when it is broken, give the host an empty data folder";
  }
}

Error
StorageError(std::string_view aVerb, const std::string& aPath, int aCode)
{
  return Error{ ErrorKind::Storage,
                Concat("cannot ", aVerb, " ", aPath, ": ", std::generic_category().message(aCode)),
                std::string(RemedyFor(aCode)) };
}

class PosixFile final : public DiskFile
{
public:
  PosixFile(std::string aPath, int aDescriptor)
    : path(std::move(aPath))
    , descriptor(aDescriptor)
  {
  }

  ~PosixFile() override { close(this->descriptor); }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;

  Result<void> Append(std::string_view aBytes) override
  {
    const off_t end = lseek(this->descriptor, 0, SEEK_END);
    if (end < 0) {
      return Fail(StorageError("write", this->path, errno));
    }
    return this->Overwrite(static_cast<std::uint64_t>(end), aBytes);
  }

  Result<void> Overwrite(std::uint64_t aOffset, std::string_view aBytes) override
  {
    auto offset = static_cast<off_t>(aOffset);
    while (!aBytes.empty()) {
      const ssize_t written = pwrite(this->descriptor, aBytes.data(), aBytes.size(), offset);
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written <= 0) {
        return Fail(StorageError("write", this->path, written < 0 ? errno : ENOSPC));
      }
      aBytes.remove_prefix(static_cast<std::size_t>(written));
      offset += written;
    }
    return Success();
  }

  Result<void> Sync() override
  {
    if (fdatasync(this->descriptor) != 0) {
      return Fail(StorageError("sync", this->path, errno));
    }
    return Success();
  }

private:
  std::string path;
  int descriptor;
};

Result<void>
Checked(std::string_view aVerb, const std::string& aPath, const std::error_code& aCode)
{
  if (aCode) {
    return Fail(StorageError(aVerb, aPath, aCode.value()));
  }
  return Success();
}

} // namespace

Result<std::unique_ptr<DiskFile>>
PosixDisk::Open(const std::string& aPath)
{
  const int descriptor = open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return Fail(StorageError("open", aPath, errno));
  }
  return std::unique_ptr<DiskFile>(std::make_unique<PosixFile>(aPath, descriptor));
}

Result<std::string>
PosixDisk::Read(const std::string& aPath)
{
  return ReadWholeFile(aPath);
}

Result<std::vector<std::string>>
PosixDisk::List(const std::string& aFolder)
{
  std::error_code code;
  std::vector<std::string> names;
  if (!fs::exists(aFolder, code)) {
    return names;
  }
  fs::directory_iterator position(aFolder, code);
  while (!code && position != fs::directory_iterator()) {
    names.push_back(position->path().filename().string());
    position.increment(code);
  }
  if (code) {
    return Fail(StorageError("list", aFolder, code.value()));
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<void>
PosixDisk::MakeFolder(const std::string& aFolder)
{
  const fs::path folder = fs::absolute(aFolder).lexically_normal();
  std::error_code code;
  if (fs::is_directory(folder, code)) {
    return Success();
  }
  const std::string parent = folder.parent_path().string();
  if (auto made = this->MakeFolder(parent); !made) {
    return made;
  }
  fs::create_directory(folder, code);
  if (code) {
    return Fail(StorageError("create", aFolder, code.value()));
  }
  return this->SyncFolder(parent);
}

Result<void>
PosixDisk::Truncate(const std::string& aPath, std::uint64_t aLength)
{
  std::error_code code;
  fs::resize_file(aPath, aLength, code);
  return Checked("truncate", aPath, code);
}

Result<void>
PosixDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  std::error_code code;
  fs::rename(aFrom, aTo, code);
  return Checked("rename", aFrom, code);
}

Result<void>
PosixDisk::Remove(const std::string& aPath)
{
  std::error_code code;
  fs::remove(aPath, code);
  return Checked("remove", aPath, code);
}

Result<void>
PosixDisk::SyncFolder(const std::string& aFolder)
{
  const int descriptor = open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return Fail(StorageError("open", aFolder, errno));
  }
  const int code = fsync(descriptor) == 0 ? 0 : errno;
  close(descriptor);
  return Checked("sync", aFolder, std::error_code(code, std::generic_category()));
}

Result<std::unique_ptr<FileLock>>
FileLock::Take(const std::string& aPath)
{
  const int descriptor = open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return Fail(StorageError("open", aPath, errno));
  }
  if (flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
    close(descriptor);
    return Fail(ErrorKind::Conflict,
                Concat("another process holds ", aPath),
                "stop the other process, or give this host a data folder of its own");
  }
  return std::unique_ptr<FileLock>(new FileLock(descriptor));
}

FileLock::~FileLock()
{
  close(this->descriptor);
}

} // namespace damasklink
