// The disk of this machine, which a test can make refuse writes.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

#include "damasklink/state/Disk.h"

namespace damasklink::testing {

// Requires that aFull outlives it and its files. Safe from any thread.
class FullDisk final : public Disk
{
public:
  explicit FullDisk(const std::atomic<bool>& aFull)
    : full(aFull)
  {
  }

  Result<std::unique_ptr<DiskFile>> Open(const std::string& aPath) override
  {
    if (auto space = this->HasSpace(); !space) {
      return Fail(space.error());
    }
    auto file = this->disk.Open(aPath);
    if (!file) {
      return Fail(file.error());
    }
    return std::unique_ptr<DiskFile>(std::make_unique<File>(*this, std::move(file.value())));
  }

  Result<std::string> Read(const std::string& aPath) override { return this->disk.Read(aPath); }

  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    return this->disk.List(aFolder);
  }

  Result<void> MakeFolder(const std::string& aFolder) override
  {
    return this->disk.MakeFolder(aFolder);
  }

  Result<void> Truncate(const std::string& aPath, std::uint64_t aLength) override
  {
    auto space = this->HasSpace();
    return space ? this->disk.Truncate(aPath, aLength) : space;
  }

  Result<void> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    auto space = this->HasSpace();
    return space ? this->disk.Rename(aFrom, aTo) : space;
  }

  Result<void> Remove(const std::string& aPath) override { return this->disk.Remove(aPath); }

  Result<void> SyncFolder(const std::string& aFolder) override
  {
    auto space = this->HasSpace();
    return space ? this->disk.SyncFolder(aFolder) : space;
  }

private:
  class File final : public DiskFile
  {
  public:
    File(const FullDisk& aDisk, std::unique_ptr<DiskFile> aFile)
      : disk(aDisk)
      , file(std::move(aFile))
    {
    }

    Result<void> Append(std::string_view aBytes) override
    {
      auto space = this->disk.HasSpace();
      return space ? this->file->Append(aBytes) : space;
    }

    Result<void> Overwrite(std::uint64_t aOffset, std::string_view aBytes) override
    {
      auto space = this->disk.HasSpace();
      return space ? this->file->Overwrite(aOffset, aBytes) : space;
    }

    Result<void> Sync() override
    {
      auto space = this->disk.HasSpace();
      return space ? this->file->Sync() : space;
    }

  private:
    const FullDisk& disk;
    std::unique_ptr<DiskFile> file;
  };

  Result<void> HasSpace() const
  {
    if (this->full) {
      return Fail(ErrorKind::Storage, "no space is left on the disk", "free space");
    }
    return Success();
  }

  const std::atomic<bool>& full;
  PosixDisk disk;
};

} // namespace damasklink::testing
