// A disk in memory that loses what was not synced.
#pragma once

#include <deque>
#include <map>
#include <random>

#include "damasklink/state/Disk.h"

namespace damasklink::testing {

// Files are flat: a folder exists as soon as a file lies in it.
class FakeDisk final : public Disk
{
public:
  // Lets the aCount-th writing call from now fail, and all after it, as if the process died there.
  void FailAfter(int aCount) { this->callsLeft = aCount; }

  // Lets every further writing call fail as on a full disk; space comes back with false.
  void SetFull(bool aFull) { this->full = aFull; }

  // Ends the process but not the machine: everything written is still there.
  void KillProcess() { this->callsLeft = -1; }

  // Cuts the power. Of what was not synced, any part may be lost.
  void CutPower(std::mt19937_64& aRandom)
  {
    this->callsLeft = -1;
    std::uniform_int_distribution<std::size_t> which(0, this->namesSinceSync.size() - 1);
    this->names = this->namesSinceSync[which(aRandom)];
    this->namesSinceSync = { this->names };
    for (auto& [path, file] : this->names) {
      Tear(*file, aRandom);
    }
  }

  // Returns the file's content for the test to look at or to damage.
  std::string& Content(const std::string& aPath) { return this->names.at(aPath)->content; }
  bool Failed() const { return this->callsLeft == 0; }

  Result<std::unique_ptr<DiskFile>> Open(const std::string& aPath) override
  {
    if (!this->names.contains(aPath)) {
      if (auto allowed = this->Allow(); !allowed) {
        return Fail(allowed.error());
      }
      this->names[aPath] = std::make_shared<FileData>();
      this->namesSinceSync.push_back(this->names);
    }
    return std::unique_ptr<DiskFile>(std::make_unique<File>(*this, this->names[aPath]));
  }

  Result<std::string> Read(const std::string& aPath) override
  {
    return this->names.at(aPath)->content;
  }

  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    std::vector<std::string> found;
    for (const auto& [path, file] : this->names) {
      if (path.starts_with(aFolder + "/")) {
        const std::string rest = path.substr(aFolder.size() + 1);
        found.push_back(rest.substr(0, rest.find('/')));
      }
    }
    return found;
  }

  Result<void> MakeFolder(const std::string& /*aFolder*/) override { return Success(); }

  Result<void> Truncate(const std::string& aPath, std::uint64_t aLength) override
  {
    return this->Do([&] { this->names.at(aPath)->content.resize(aLength); });
  }

  Result<void> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    return this->Do([&] {
      this->names[aTo] = this->names.at(aFrom);
      this->names.erase(aFrom);
      this->namesSinceSync.push_back(this->names);
    });
  }

  Result<void> Remove(const std::string& aPath) override
  {
    return this->Do([&] {
      this->names.erase(aPath);
      this->namesSinceSync.push_back(this->names);
    });
  }

  Result<void> SyncFolder(const std::string& /*aFolder*/) override
  {
    return this->Do([&] { this->namesSinceSync = { this->names }; });
  }

private:
  struct FileData
  {
    std::string content;
    std::string synced;
  };
  using Names = std::map<std::string, std::shared_ptr<FileData>>;

  class File final : public DiskFile
  {
  public:
    File(FakeDisk& aDisk, std::shared_ptr<FileData> aContent)
      : disk(aDisk)
      , file(std::move(aContent))
    {
    }

    Result<void> Append(std::string_view aBytes) override
    {
      return this->Overwrite(this->file->content.size(), aBytes);
    }

    Result<void> Overwrite(std::uint64_t aOffset, std::string_view aBytes) override
    {
      std::string& content = this->file->content;
      const bool dying = this->disk.callsLeft == 1;
      // The call in which the process dies writes a part.
      const std::string_view written = dying ? aBytes.substr(0, aBytes.size() / 2) : aBytes;
      if (!this->disk.full && this->disk.callsLeft != 0) {
        content.resize(std::max<std::size_t>(content.size(), aOffset + written.size()));
        content.replace(aOffset, written.size(), written);
      }
      return this->disk.Allow();
    }

    Result<void> Sync() override
    {
      return this->disk.Do([&] { this->file->synced = this->file->content; });
    }

  private:
    FakeDisk& disk;
    std::shared_ptr<FileData> file;
  };

  static void Tear(FileData& aFile, std::mt19937_64& aRandom)
  {
    if (aFile.content == aFile.synced) {
      return;
    }
    const std::size_t kept = std::min(aFile.content.size(), aFile.synced.size());
    std::uniform_int_distribution<std::size_t> length(kept, aFile.content.size());
    std::string torn = aRandom() % 2 == 0 ? aFile.synced : aFile.content;
    if (torn == aFile.content) {
      torn.resize(length(aRandom));
    }
    aFile.content = torn;
    aFile.synced = torn;
  }

  Result<void> Allow()
  {
    if (this->callsLeft > 0) {
      --this->callsLeft;
    }
    if (this->callsLeft == 0 || this->full) {
      return Fail(ErrorKind::Storage, "the disk is full or gone", "free space");
    }
    return Success();
  }

  template<typename Action>
  Result<void> Do(Action aAction)
  {
    auto allowed = this->Allow();
    if (allowed) {
      aAction();
    }
    return allowed;
  }

  Names names;
  // The folder as it may be found after a power cut: any state since its last sync.
  std::deque<Names> namesSinceSync{ Names() };
  int callsLeft = -1;
  bool full = false;
};

} // namespace damasklink::testing
