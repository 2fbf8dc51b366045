#include "ServiceRelay.h"

#include <thread>

#include "TrafficFixture.h"

namespace damasklink {
namespace {

class ServiceRelayTest : public TrafficFixture
{
protected:
  // Returns the handler of a service that counts its runs and then answers with aAnswer.
  HttpHandler Counting(std::function<HttpResponse()> aAnswer)
  {
    return [this, answer = std::move(aAnswer)](const HttpRequest&) {
      ++this->runs;
      return answer();
    };
  }

  static HttpResponse FixedAnswer()
  {
    HttpResponse response;
    response.body = "pressed";
    return response;
  }

  // Closes the connection in the middle of the answer.
  static HttpResponse InterruptedAnswer()
  {
    HttpResponse response;
    response.stream = [](StreamWriter& aWriter) {
      aWriter.Write("pres");
      return false;
    };
    return response;
  }

  // Makes aCalls calls while both targets interrupt their answers. Expects that each call is
  // reported as one that may have run.
  void PostToInterruptingTargets(const std::string& aKey, int aCalls)
  {
    const ScriptedTarget one(this->Counting(InterruptedAnswer));
    const ScriptedTarget other(this->Counting(InterruptedAnswer));
    this->SetTargets(
      { one.Record("s-1", TargetKind::Service), other.Record("s-2", TargetKind::Service) });
    this->StartHost();
    for (int index = 0; index < aCalls; ++index) {
      const HttpClientResponse answer = this->Post("/services/plates/jobs", "17", aKey);
      EXPECT_NE(answer.body.find("may_have_run"), std::string::npos) << answer.body;
    }
  }

  std::atomic<int> runs{ 0 };
};

constexpr int kConflict = 409;

TEST_F(ServiceRelayTest, ReplaysKeptAnswerForSecondCallWithSameKey)
{
  const ScriptedTarget service(this->Counting(FixedAnswer));
  this->SetTargets({ service.Record("s-1", TargetKind::Service) });
  this->StartHost();
  EXPECT_EQ(this->Post("/services/plates/jobs", "17", "order-17").body, "pressed");
  HttpClientResponse second = this->Post("/services/plates/jobs", "17", "order-17");
  // The first call is answered before the end of its run is committed; until then a repeat
  // conflicts.
  while (second.status == kConflict) {
    second = this->Post("/services/plates/jobs", "17", "order-17");
  }
  EXPECT_EQ(second.body, "pressed");
  EXPECT_EQ(this->runs, 1);
}

TEST_F(ServiceRelayTest, RunsConcurrentCallsWithSameKeyOnce)
{
  const ScriptedTarget service(this->Counting(FixedAnswer));
  this->SetTargets({ service.Record("s-1", TargetKind::Service) });
  this->StartHost();
  std::vector<std::thread> callers;
  for (int index = 0; index < 8; ++index) {
    callers.emplace_back([this] { this->Post("/services/plates/jobs", "17", "order-17"); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(this->runs, 1);
}

TEST_F(ServiceRelayTest, ReportsInterruptedRunAndDoesNotRepeatIt)
{
  this->PostToInterruptingTargets("order-17", 3);
  EXPECT_EQ(this->runs, 1);
}

TEST_F(ServiceRelayTest, SendsCallWithoutKeyOnce)
{
  this->PostToInterruptingTargets("", 1);
  EXPECT_EQ(this->runs, 1);
}

TEST_F(ServiceRelayTest, ReportsNotRunForUnreachableTargetAndAllowsKeyLater)
{
  ScriptedTarget unreachable(this->Counting(FixedAnswer));
  const TargetRecord record = unreachable.Record("s-1", TargetKind::Service);
  unreachable.Stop();
  this->SetTargets({ record });
  this->StartHost();
  const HttpClientResponse refused = this->Post("/services/plates/jobs", "17", "order-17");
  EXPECT_NE(refused.body.find("\"not_run\""), std::string::npos) << refused.body;
  const ScriptedTarget back(this->Counting(FixedAnswer));
  this->control.Post([&] { this->SetTargets({ back.Record("s-2", TargetKind::Service) }); });
  HttpClientResponse answer;
  while (answer.body != "pressed") {
    answer = this->Post("/services/plates/jobs", "17", "order-17");
  }
  EXPECT_EQ(this->runs, 1);
}

TEST_F(ServiceRelayTest, TreatsSameKeyOfOtherWorkspaceAsDistinct)
{
  const ScriptedTarget service(this->Counting(FixedAnswer));
  this->SetTargets({ service.Record("s-1", TargetKind::Service) });
  this->StartHost();
  this->Post("/services/plates/jobs", "17", "order-17");
  HttpCall call = this->MakeCall("/services/plates/jobs", "17");
  call.headers = { { "authorization", "Bearer branch-key" }, { "idempotency-key", "order-17" } };
  EXPECT_EQ(CallHttp(call, ByteCount(1024)).value().body, "pressed");
  EXPECT_EQ(this->runs, 2);
}

TEST_F(ServiceRelayTest, AcceptsMintedKeyFromItsWorkspaceOnly)
{
  const ScriptedTarget service(this->Counting(FixedAnswer));
  this->SetTargets({ service.Record("s-1", TargetKind::Service) });
  this->StartHost();
  const std::string body = this->Post("/v1/keys", "").body;
  const std::size_t at = body.find("dk1~");
  const std::string key = body.substr(at, body.find('"', at) - at);
  HttpCall call = this->MakeCall("/services/plates/jobs", "17");
  call.headers = { { "authorization", "Bearer branch-key" }, { "idempotency-key", key } };
  EXPECT_EQ(CallHttp(call, ByteCount(1024)).value().status, 400);
  EXPECT_EQ(this->Post("/services/plates/jobs", "17", key).body, "pressed");
  EXPECT_EQ(this->runs, 1);
}

TEST_F(ServiceRelayTest, ForwardsPathAndQuery)
{
  std::string seen;
  const ScriptedTarget service([&](const HttpRequest& aRequest) {
    seen = aRequest.target;
    return FixedAnswer();
  });
  this->SetTargets({ service.Record("s-1", TargetKind::Service) });
  this->StartHost();
  this->Post("/services/plates/jobs/a%20b?plate=N%2017", "17");
  EXPECT_EQ(seen, "/jobs/a%20b?plate=N%2017");
  this->Post("/services/plates?plate=N/17", "17");
  EXPECT_EQ(seen, "/?plate=N/17");
}

} // namespace
} // namespace damasklink
