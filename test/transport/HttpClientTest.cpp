#include "damasklink/transport/HttpClient.h"

#include <gtest/gtest.h>

#include "damasklink/transport/HttpServer.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

// Serves POST /x with a handler of the test.
class HttpClientTest : public ::testing::Test
{
protected:
  void Serve(HttpHandler aHandler)
  {
    HttpServer::Options options;
    options.endpoint.address = testing::OwnAddress(1);
    this->server = std::make_unique<HttpServer>(options);
    this->server->Route("POST", "/x", std::move(aHandler));
    ASSERT_TRUE(this->server->Start());
  }

  HttpCall MakeCall() const
  {
    HttpCall call;
    call.endpoint = this->server->Address();
    call.method = "POST";
    call.path = "/x";
    call.body = "question";
    return call;
  }

  std::unique_ptr<HttpServer> server;
};

TEST_F(HttpClientTest, ReadsResponseWithContentLength)
{
  this->Serve([](const HttpRequest& aRequest) {
    HttpResponse response;
    response.body = "answer to " + aRequest.body;
    return response;
  });
  const auto response = CallHttp(MakeCall(), ByteCount(1024));
  ASSERT_TRUE(response) << response.error();
  EXPECT_EQ(response.value().body, "answer to question");
}

// Guards against a status that HTTP lacks and that is taken for one.
TEST_F(HttpClientTest, ResponseWithoutAStatusOfHttpIsCorrupt)
{
  for (const int status : { 600, 999 }) {
    SCOPED_TRACE(status);
    this->Serve([status](const HttpRequest&) {
      HttpResponse response;
      response.status = status;
      return response;
    });
    const auto response = CallHttp(MakeCall(), ByteCount(1024));
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().kind, ErrorKind::Corrupt);
  }
}

TEST_F(HttpClientTest, TruncatedStreamIsInterrupted)
{
  this->Serve([](const HttpRequest&) {
    HttpResponse response;
    response.stream = [](StreamWriter& aWriter) {
      aWriter.Write("half");
      return false;
    };
    return response;
  });
  const auto response = CallHttp(MakeCall(), ByteCount(1024));
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().kind, ErrorKind::Interrupted);
}

TEST_F(HttpClientTest, RefusedConnectionIsUnavailable)
{
  this->Serve([](const HttpRequest&) { return HttpResponse(); });
  const HttpCall call = MakeCall();
  this->server->Stop();
  const auto response = CallHttp(call, ByteCount(1024));
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().kind, ErrorKind::Unavailable);
}

} // namespace
} // namespace damasklink
