// Standard output redirected to a pipe, for tests of what is logged.
#pragma once

#include <poll.h>
#include <unistd.h>

#include <string>

#include <gtest/gtest.h>

namespace damasklink::testing {

// Redirects standard output to a pipe during its lifetime.
class PipeOutput
{
public:
  PipeOutput()
    : original(dup(STDOUT_FILENO))
  {
    EXPECT_EQ(pipe(this->ends), 0);
    dup2(this->ends[1], STDOUT_FILENO);
  }

  ~PipeOutput()
  {
    dup2(this->original, STDOUT_FILENO);
    close(this->original);
    close(this->ends[0]);
    close(this->ends[1]);
  }

  // Returns what has been written and not read yet, at most the capacity of the pipe.
  std::string Read() const
  {
    std::string text(1 << 20, '\0');
    const ssize_t count = read(this->ends[0], text.data(), text.size());
    text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return text;
  }

  // Returns what is written up to the line with the marker, or until nothing comes for ten seconds.
  std::string ReadUntil(const std::string& aMarker) const
  {
    std::string text;
    pollfd readable{ this->ends[0], POLLIN, 0 };
    while (text.find(aMarker) == std::string::npos && poll(&readable, 1, 10'000) == 1) {
      text += this->Read();
    }
    return text;
  }

private:
  int original;
  int ends[2] = { -1, -1 };
};

} // namespace damasklink::testing
