// A folder of its own for a test, removed when the test program ends.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

#include <gtest/gtest.h>

namespace damasklink::testing {

// Returns a folder in memory where there is one, for tests that are not about disks: a disk of a
// busy machine may sync nothing for seconds, and a replica then answers nothing for as long.
inline std::string
FolderInMemory()
{
  const std::string memory = "/dev/shm/";
  return std::filesystem::is_directory(memory) ? memory : ::testing::TempDir();
}

class TempFolder
{
public:
  explicit TempFolder(const std::string& aWhere = ::testing::TempDir())
    : path(aWhere + "damasklink-XXXXXX")
  {
    EXPECT_NE(mkdtemp(this->path.data()), nullptr);
  }

  ~TempFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(this->path, ignored);
  }

  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  const std::string& Path() const { return this->path; }

private:
  std::string path;
};

} // namespace damasklink::testing
