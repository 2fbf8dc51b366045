// Files of the data folder behind an interface, so that tests can lose what was not synced.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/state/Error.h"

namespace damasklink {

// One open file. Every call fails with Storage and the system's reason.
class DiskFile
{
public:
  virtual ~DiskFile() = default;

  // Writes at the end of the file.
  virtual Result<void> Append(std::string_view aBytes) = 0;

  // Writes over bytes at a place; the file grows where it has to.
  virtual Result<void> Overwrite(std::uint64_t aOffset, std::string_view aBytes) = 0;

  // Returns once all bytes written so far survive a power loss. A file whose sync failed must not
  // be used further: what it holds is unknown.
  virtual Result<void> Sync() = 0;
};

// A file system. Every call fails with Storage and the system's reason. A file's name survives a
// power loss only after SyncFolder() of its folder.
class Disk
{
public:
  virtual ~Disk() = default;

  // Opens a file for writing and creates it when it is missing.
  virtual Result<std::unique_ptr<DiskFile>> Open(const std::string& aPath) = 0;

  virtual Result<std::string> Read(const std::string& aPath) = 0;

  // Returns the names inside a folder in order, none when it does not exist.
  virtual Result<std::vector<std::string>> List(const std::string& aFolder) = 0;

  // Creates a folder and its parents, and syncs them; does nothing when it is there.
  virtual Result<void> MakeFolder(const std::string& aFolder) = 0;

  virtual Result<void> Truncate(const std::string& aPath, std::uint64_t aLength) = 0;
  virtual Result<void> Rename(const std::string& aFrom, const std::string& aTo) = 0;
  virtual Result<void> Remove(const std::string& aPath) = 0;
  virtual Result<void> SyncFolder(const std::string& aFolder) = 0;
};

// The files of the machine.
class PosixDisk final : public Disk
{
public:
  Result<std::unique_ptr<DiskFile>> Open(const std::string& aPath) override;
  Result<std::string> Read(const std::string& aPath) override;
  Result<std::vector<std::string>> List(const std::string& aFolder) override;
  Result<void> MakeFolder(const std::string& aFolder) override;
  Result<void> Truncate(const std::string& aPath, std::uint64_t aLength) override;
  Result<void> Rename(const std::string& aFrom, const std::string& aTo) override;
  Result<void> Remove(const std::string& aPath) override;
  Result<void> SyncFolder(const std::string& aFolder) override;
};

// Keeps a file locked against other processes for as long as it lives.
class FileLock
{
public:
  // Fails with Conflict when another process holds the lock.
  static Result<std::unique_ptr<FileLock>> Take(const std::string& aPath);

  ~FileLock();
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

private:
  explicit FileLock(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }

  int descriptor;
};

} // namespace damasklink
