#include <atomic>

#include "ExchangeFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::ScriptedTarget;
using testing::Write;

std::string
Workspace(const std::string& aName, bool aIsolated)
{
  return R"({"name":")" + aName + R"(","api-keys":["key-)" + aName + R"("],"isolated":)" +
         (aIsolated ? "true" : "false") + "}";
}

std::string
SaltOf(const std::string& aRequest)
{
  const std::string name = "X-Cache-Salt: ";
  const std::size_t begin = aRequest.find(name);
  return begin == std::string::npos
           ? ""
           : aRequest.substr(begin + name.size(), aRequest.find('\r', begin) - begin - name.size());
}

// Two workspaces, of which the first may be isolated.
class ExchangeIsolationTest : public testing::ExchangeFixture
{
protected:
  std::string TwoWorkspaces(int aVersion, bool aIsolated) const
  {
    return R"({"version":)" + std::to_string(aVersion) +
           R"(,"routes":[{"name":"prompts","host":"h","path-prefix":"/prompts/",)"
           R"("kind":"idempotent","timeout-ms":20000,"target-latency-ms":20000,)"
           R"("service":"app","max-attempts":2,"public":false,"sticky":true}],)"
           R"("services":[{"name":"app"}],"tenants":[)" +
           Workspace("a", aIsolated) + "," + Workspace("b", false) + "]}";
  }

  void Install(int aVersion, bool aIsolated)
  {
    this->OnLoop([&] {
      this->state.InstallRoutes(
        ReadRoutes(this->dialect, this->TwoWorkspaces(aVersion, aIsolated)).value());
    });
  }

  // Sends a call of the workspace and returns its response.
  std::string CallOf(const std::string& aWorkspace)
  {
    this->Call("/prompts/",
               "X-Model: m\r\nX-Token-Usage: 100,10\r\nX-Credential: key-" + aWorkspace + "\r\n");
    return this->Receive();
  }

  static bool AnswerOk(const std::string&, TcpSocket& aSocket)
  {
    Write(aSocket, Answer(200, "done"));
    return true;
  }
};

// Guards against others that use the cached parts of a workspace which was isolated later.
TEST_F(ExchangeIsolationTest, WorkspaceThatBecomesIsolatedLeavesNothingInTheScopeOfOthers)
{
  ScriptedTarget target(AnswerOk);
  this->AddTarget("t", target.Address());
  this->Start();
  this->Install(2, false);
  this->CallOf("a");
  this->CallOf("b");
  this->Install(3, true);
  this->CallOf("a");
  this->CallOf("b");
  this->Install(4, false);
  this->CallOf("b");
  const std::deque<std::string> requests = target.Requests();
  ASSERT_EQ(requests.size(), 5U);
  EXPECT_EQ(SaltOf(requests[0]), "m/0/");
  EXPECT_EQ(SaltOf(requests[1]), SaltOf(requests[0]));
  EXPECT_EQ(SaltOf(requests[2]), "m/0/a");
  EXPECT_NE(SaltOf(requests[3]), SaltOf(requests[0]));
  EXPECT_NE(SaltOf(requests[3]), SaltOf(requests[2]));
  EXPECT_EQ(SaltOf(requests[4]), SaltOf(requests[0]));
}

// Guards against calls that are sent again under the configuration with which they were read.
TEST_F(ExchangeIsolationTest, CallThatIsSentAgainAfterAChangeLeavesTheFormerScope)
{
  std::atomic<int> requests = 0;
  const auto changeAndBreakOff = [&](const std::string& aRequest, TcpSocket& aSocket) {
    if (requests++ > 0) {
      return AnswerOk(aRequest, aSocket);
    }
    this->Install(3, true);
    return false;
  };
  ScriptedTarget first(changeAndBreakOff);
  ScriptedTarget second(changeAndBreakOff);
  this->AddTarget("t1", first.Address());
  this->AddTarget("t2", second.Address());
  this->Start();
  this->Install(2, false);
  EXPECT_NE(this->CallOf("b").find("HTTP/1.1 200"), std::string::npos);
  ASSERT_EQ(first.Requests().size(), 1U);
  ASSERT_EQ(second.Requests().size(), 1U);
  EXPECT_NE(SaltOf(first.Requests()[0]), SaltOf(second.Requests()[0]));
}

} // namespace
} // namespace damasklink
