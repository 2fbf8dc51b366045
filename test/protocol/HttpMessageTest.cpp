#include "damasklink/protocol/HttpMessage.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

HttpRequestHead
HeadWith(std::initializer_list<HttpField> aFields)
{
  HttpRequestHead head;
  head.method = "POST";
  head.target = "/a/b";
  for (const HttpField& field : aFields) {
    head.fields.Add(field.name, field.value);
  }
  return head;
}

TEST(HttpMessageTest, FieldNamesIgnoreCase)
{
  HttpFields fields;
  fields.Add("Content-Type", "text/plain");
  ASSERT_NE(fields.Find("content-type"), nullptr);
  EXPECT_EQ(*fields.Find("CONTENT-TYPE"), "text/plain");
  EXPECT_EQ(fields.Find("Content-Typ"), nullptr);
}

TEST(HttpMessageTest, AcceptsASingleBodyLength)
{
  EXPECT_TRUE(CheckFraming(HeadWith({ { "Content-Length", "12" } })));
  EXPECT_TRUE(CheckFraming(HeadWith({ { "Transfer-Encoding", "chunked" } })));
  EXPECT_TRUE(CheckFraming(HeadWith({})));
}

TEST(HttpMessageTest, RejectsContentLengthWithChunked)
{
  EXPECT_FALSE(
    CheckFraming(HeadWith({ { "Content-Length", "12" }, { "Transfer-Encoding", "chunked" } })));
}

TEST(HttpMessageTest, RejectsRepeatedContentLengthEvenIfEqual)
{
  EXPECT_FALSE(CheckFraming(HeadWith({ { "Content-Length", "12" }, { "content-length", "12" } })));
  EXPECT_FALSE(CheckFraming(HeadWith({ { "Content-Length", "12, 12" } })));
}

TEST(HttpMessageTest, RejectsContentLengthThatIsNotDecimal)
{
  EXPECT_FALSE(CheckFraming(HeadWith({ { "Content-Length", "+12" } })));
  EXPECT_FALSE(CheckFraming(HeadWith({ { "Content-Length", "" } })));
  EXPECT_FALSE(CheckFraming(HeadWith({ { "Content-Length", "0x10" } })));
}

TEST(HttpMessageTest, RejectsTransferCodingsOtherThanChunked)
{
  EXPECT_FALSE(CheckFraming(HeadWith({ { "Transfer-Encoding", "gzip, chunked" } })));
  EXPECT_FALSE(CheckFraming(HeadWith({ { "Transfer-Encoding", "xchunked" } })));
}

TEST(HttpMessageTest, RejectsChunkedInHttp10)
{
  HttpRequestHead head = HeadWith({ { "Transfer-Encoding", "chunked" } });
  head.version = 10;
  EXPECT_FALSE(CheckFraming(head));
}

TEST(HttpMessageTest, RejectsLineFeedInFieldValue)
{
  EXPECT_FALSE(CheckFraming(HeadWith({ { "X", "a\nContent-Length: 3" } })));
}

TEST(HttpMessageTest, RemovesHopByHopFields)
{
  HttpFields fields;
  fields.Add("Connection", "close, X-Private");
  fields.Add("X-Private", "1");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("X-Kept", "2");
  RemoveHopByHopFields(fields);
  ASSERT_EQ(fields.All().size(), 1U);
  EXPECT_EQ(fields.All().front().name, "X-Kept");
}

TEST(HttpMessageTest, ReadsCloseFromConnectionField)
{
  HttpFields fields;
  EXPECT_FALSE(ClosesConnection(fields, 11));
  EXPECT_TRUE(ClosesConnection(fields, 10));
  fields.Add("Connection", "Keep-Alive, Close");
  EXPECT_TRUE(ClosesConnection(fields, 11));
}

TEST(HttpMessageTest, ReadsKeepAliveTimeout)
{
  HttpFields fields;
  EXPECT_FALSE(KeepAliveSeconds(fields));
  fields.Add("Keep-Alive", "max=100, timeout=7");
  EXPECT_EQ(KeepAliveSeconds(fields), 7U);
}

TEST(HttpMessageTest, RequestHeadContainsBodyLength)
{
  EXPECT_EQ(FormatRequestHead(HeadWith({ { "Host", "h" } }), 3),
            "POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n");
}

TEST(HttpMessageTest, ResponseHeadContainsConnectionClose)
{
  HttpResponseHead head;
  head.status = 503;
  EXPECT_EQ(FormatResponseHead(head, BodyFraming::Length, 0, true),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

} // namespace
} // namespace damasklink
