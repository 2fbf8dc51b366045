// A folder of its own for a test, removed when the test program ends.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

#include <gtest/gtest.h>

namespace damasklink::testing {

class TempFolder
{
public:
  TempFolder()
    : path(::testing::TempDir() + "damasklink-XXXXXX")
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
