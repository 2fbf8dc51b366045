#include "damasklink/state/CompactCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

RC_GTEST_PROP(CompactCodecTest,
              ReadsBackWhatWasWritten,
              (std::uint64_t aNumber, std::string aText, double aReal))
{
  CompactWriter writer;
  writer.Number(aNumber).Text(aText).Real(aReal).Flag(true);
  const std::string bytes = std::move(writer).Take();
  CompactReader reader(bytes);
  RC_ASSERT(reader.Number() == aNumber);
  RC_ASSERT(reader.Text() == aText);
  RC_ASSERT(reader.Real() == aReal);
  RC_ASSERT(reader.Flag());
  RC_ASSERT(reader.AtCleanEnd());
}

RC_GTEST_PROP(CompactCodecTest, AnyBytesNeverRunPastTheEnd, (const std::string& aBytes))
{
  CompactReader reader(aBytes);
  for (int step = 0; step < 20; ++step) {
    reader.Number();
    RC_ASSERT(reader.Text().size() <= aBytes.size());
    RC_ASSERT(reader.Count() <= aBytes.size());
  }
}

} // namespace
} // namespace damasklink
