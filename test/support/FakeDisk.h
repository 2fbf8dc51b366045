// A disk in memory that loses what was not synced.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

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

  // Cuts the power. Every write and every change of a name since the last sync is kept or lost on
  // its own, and a write may also be torn.
  void CutPower(std::mt19937_64& aRandom)
  {
    this->callsLeft = -1;
    const bool allGone = aRandom() % 3 == 0;
    this->names = this->syncedNames;
    for (const NameChange& change : this->nameChanges) {
      if (!allGone && aRandom() % 2 == 0) {
        change.ApplyTo(this->names);
      }
    }
    this->nameChanges.clear();
    this->syncedNames = this->names;
    for (auto& [path, file] : this->names) {
      Tear(*file, allGone, aRandom);
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
      this->Change(NameChange{ "", aPath, std::make_shared<FileData>() });
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
    return this->Do([&] { this->names.at(aPath)->Make(Write{ aLength, "", true }); });
  }

  Result<void> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    return this->Do([&] { this->Change(NameChange{ aFrom, aTo, this->names.at(aFrom) }); });
  }

  Result<void> Remove(const std::string& aPath) override
  {
    return this->Do([&] { this->Change(NameChange{ aPath, "", nullptr }); });
  }

  // Syncs the names in this folder, not those in folders below it.
  Result<void> SyncFolder(const std::string& aFolder) override
  {
    return this->Do([&] {
      std::erase_if(this->nameChanges, [&](const NameChange& aChange) {
        const bool within = FolderOf(aChange.from.empty() ? aChange.to : aChange.from) == aFolder;
        if (within) {
          aChange.ApplyTo(this->syncedNames);
        }
        return within;
      });
    });
  }

private:
  // Overwrites from the offset on, or sets the length to it.
  struct Write
  {
    std::uint64_t offset = 0;
    std::string bytes;
    bool setsLength = false;

    void ApplyTo(std::string& aContent) const
    {
      if (this->setsLength) {
        aContent.resize(this->offset);
        return;
      }
      aContent.resize(std::max<std::size_t>(aContent.size(), this->offset + this->bytes.size()));
      aContent.replace(this->offset, this->bytes.size(), this->bytes);
    }
  };

  struct FileData
  {
    std::string content;
    std::string synced;
    std::vector<Write> sinceSync;

    void Make(Write aWrite)
    {
      aWrite.ApplyTo(this->content);
      this->sinceSync.push_back(std::move(aWrite));
    }
  };
  using Names = std::map<std::string, std::shared_ptr<FileData>>;

  // A file created (no former name), renamed or removed (no new name).
  struct NameChange
  {
    std::string from;
    std::string to;
    std::shared_ptr<FileData> file;

    void ApplyTo(Names& aNames) const
    {
      if (!this->from.empty()) {
        aNames.erase(this->from);
      }
      if (!this->to.empty()) {
        aNames[this->to] = this->file;
      }
    }
  };

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
      const bool dying = this->disk.callsLeft == 1;
      // The call in which the process dies writes a part.
      const std::string_view written = dying ? aBytes.substr(0, aBytes.size() / 2) : aBytes;
      if (!this->disk.full && this->disk.callsLeft != 0) {
        this->file->Make(Write{ aOffset, std::string(written) });
      }
      return this->disk.Allow();
    }

    Result<void> Sync() override
    {
      return this->disk.Do([&] {
        this->file->synced = this->file->content;
        this->file->sinceSync.clear();
      });
    }

  private:
    FakeDisk& disk;
    std::shared_ptr<FileData> file;
  };

  static void Tear(FileData& aFile, bool aAllGone, std::mt19937_64& aRandom)
  {
    // Content that a test damaged by hand stays as it is.
    if (!aFile.sinceSync.empty()) {
      aFile.content = aFile.synced;
    }
    for (Write& write : aFile.sinceSync) {
      const std::uint64_t fate = aAllGone ? 0 : aRandom() % 3;
      if (fate == 1 && !write.bytes.empty()) {
        write.bytes.resize(aRandom() % write.bytes.size());
      }
      if (fate != 0) {
        write.ApplyTo(aFile.content);
      }
    }
    aFile.sinceSync.clear();
    aFile.synced = aFile.content;
  }

  static std::string FolderOf(const std::string& aPath)
  {
    return aPath.substr(0, aPath.rfind('/'));
  }

  void Change(const NameChange& aChange)
  {
    aChange.ApplyTo(this->names);
    this->nameChanges.push_back(aChange);
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
  // The names as of the last sync of their folder, and their changes since.
  Names syncedNames;
  std::vector<NameChange> nameChanges;
  int callsLeft = -1;
  bool full = false;
};

} // namespace damasklink::testing
