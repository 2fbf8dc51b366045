#include "damasklink/coordination/EventFramer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

TEST(EventFramerTest, ReturnsCompleteEventsAndBuffersRest)
{
  EventFramer framer;
  EXPECT_EQ(framer.Append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(framer.LastEvent(), 1U);
  EXPECT_TRUE(framer.HasPartialEvent());
  EXPECT_EQ(framer.Append("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(framer.LastEvent(), 2U);
  EXPECT_FALSE(framer.HasPartialEvent());
}

TEST(EventFramerTest, DiscardsPartialEvent)
{
  EventFramer framer;
  framer.Append("id: 7\ndata: a\n\nid: 8\ndata: hal");
  framer.DiscardPartialEvent();
  EXPECT_EQ(framer.Append("id: 8\ndata: whole\n\n"), "id: 8\ndata: whole\n\n");
  EXPECT_EQ(framer.LastEvent(), 8U);
}

TEST(EventFramerTest, IgnoresIdInsideData)
{
  EventFramer framer;
  framer.Append("id: 3\ndata: paid: 99\n\n");
  EXPECT_EQ(framer.LastEvent(), 3U);
}

TEST(EventFramerTest, EventWithoutIdKeepsLastId)
{
  EventFramer framer;
  framer.Append("id: 3\ndata: a\n\n");
  framer.Append(": comment\n\n");
  EXPECT_EQ(framer.LastEvent(), 3U);
}

TEST(EventFramerTest, AcceptsCrLfLineEndings)
{
  EventFramer framer;
  EXPECT_EQ(framer.Append("id: 1\r\ndata: a\r\n\r\nid"), "id: 1\r\ndata: a\r\n\r\n");
  EXPECT_EQ(framer.LastEvent(), 1U);
}

// However the stream is split into chunks, the output is a prefix of it that ends with an event.
RC_GTEST_PROP(EventFramerTest, OutputDoesNotDependOnChunking, ())
{
  std::string stream;
  const auto count = *rc::gen::inRange(0, 6);
  for (int id = 1; id <= count; ++id) {
    stream += "id: " + std::to_string(id) + "\ndata: " + std::string(id, 'x') + "\n\n";
  }
  EventFramer framer;
  std::string output;
  std::size_t at = 0;
  while (at < stream.size()) {
    const auto length = *rc::gen::inRange<std::size_t>(1, 9);
    output += framer.Append(std::string_view(stream).substr(at, length));
    RC_ASSERT(stream.substr(0, output.size()) == output);
    if (!output.empty()) {
      RC_ASSERT(output.substr(output.size() - 2) == "\n\n");
    }
    at += length;
  }
  RC_ASSERT(output == stream);
}

} // namespace
} // namespace damasklink
