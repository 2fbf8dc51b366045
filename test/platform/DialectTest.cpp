#include "platform/Dialect.h"

#include <gtest/gtest.h>

namespace damasklink::platform {
namespace {

HttpRequestHead
CallerHead()
{
  HttpRequestHead head;
  head.method = "POST";
  head.target = "/puxa400/2f?x=1";
  head.fields.Add("Host", "pule25.example");
  head.fields.Add("X-Request-Id", "9c41");
  head.fields.Add("X-Model", "daka");
  head.fields.Add("X-Token-Usage", "1460,80");
  head.fields.Add("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  head.fields.Add("X-Deadline-Ms", "15000");
  head.fields.Add("X-Credential", "secret");
  return head;
}

TEST(DialectTest, ReadsCallHeaders)
{
  const auto call = Dialect().ReadCall(CallerHead());
  ASSERT_TRUE(call);
  EXPECT_EQ(call.value().request, RequestId("9c41"));
  EXPECT_EQ(call.value().key, "secret");
  EXPECT_EQ(call.value().timeout, std::chrono::seconds(15));
  EXPECT_EQ(call.value().promptTokens, TokenCount(1460));
  EXPECT_EQ(call.value().maxAnswerTokens, TokenCount(80));
  ASSERT_EQ(call.value().parts.size(), 3U);
  EXPECT_EQ(call.value().parts[1], (PromptPart{ PartId("91bd3f06"), TokenCount(410) }));
}

TEST(DialectTest, ReadsWhichStreamIsResumed)
{
  HttpRequestHead head = CallerHead();
  EXPECT_TRUE(Dialect().ReadCall(head).value().resumes.Empty());
  head.fields.Set("Last-Event-Id", "12");
  head.fields.Set("Resumes", "51ab");
  const auto call = Dialect().ReadCall(head);
  ASSERT_TRUE(call);
  EXPECT_EQ(call.value().lastEvent, 12U);
  EXPECT_EQ(call.value().resumes, RequestId("51ab"));
}

TEST(DialectTest, MalformedHeaderIsNamedInError)
{
  for (const char* name : { "X-Token-Usage", "X-Prompt-Prefix", "X-Deadline-Ms" }) {
    HttpRequestHead head = CallerHead();
    head.fields.Set(name, "nonsense");
    const auto call = Dialect().ReadCall(head);
    ASSERT_FALSE(call) << name;
    EXPECT_NE(call.error().message.find(name), std::string::npos);
  }
}

TEST(DialectTest, RefusesCallWithoutRequestId)
{
  HttpRequestHead head = CallerHead();
  head.fields.Remove("X-Request-Id");
  EXPECT_FALSE(Dialect().ReadCall(head));
}

TEST(DialectTest, RemovesCredentialAndReplacesForgedWorkspace)
{
  HttpRequestHead head = CallerHead();
  head.fields.Add("X-Tenant", "forged");
  TargetCall call;
  call.target = TargetId("i-1");
  call.workspace = WorkspaceId("bozi");
  call.timeLeft = std::chrono::milliseconds(1234);
  const HttpRequestHead sent = Dialect().MakeTargetRequestHead(head, call);
  EXPECT_EQ(sent.fields.Find("X-Credential"), nullptr);
  EXPECT_EQ(sent.fields.Count("X-Tenant"), 1U);
  EXPECT_EQ(sent.fields.Get("X-Tenant"), "bozi");
  EXPECT_EQ(sent.fields.Get("X-Target-Instance"), "i-1");
  EXPECT_EQ(sent.fields.Get("X-Deadline-Ms"), "1234");
  EXPECT_EQ(sent.fields.Get("X-Request-Id"), "9c41");
  EXPECT_EQ(sent.target, "/puxa400/2f?x=1");
}

TEST(DialectTest, RemovesReservedHeadersOfCaller)
{
  HttpRequestHead head = CallerHead();
  const std::vector<std::string> names{
    "X-Hold",     "X-Pin-Ms",  "X-Kv-Backup", "Kv-From",          "X-Cache-Salt",
    "X-Kv-Fetch", "X-Kv-Save", "X-Kv-Until",  "X-Expect-Version", "X-Request-Priority"
  };
  for (const std::string& name : names) {
    head.fields.Add(name, "forged");
  }
  const HttpRequestHead sent = Dialect().MakeTargetRequestHead(head, TargetCall{});
  for (const std::string& name : names) {
    EXPECT_EQ(sent.fields.Find(name), nullptr) << name;
  }
}

TEST(DialectTest, ListsPartTransfersInPromptOrder)
{
  TargetCall call;
  call.scope = CacheScope("m/1/");
  call.fetches = { PartTransfer{ Endpoint{ "10.2.0.1", 8006 } }, PartTransfer{}, PartTransfer{} };
  const HttpRequestHead sent = Dialect().MakeTargetRequestHead(CallerHead(), call);
  EXPECT_EQ(sent.fields.Get("X-Kv-Fetch"), "10.2.0.1:8006,-,-");
  EXPECT_EQ(sent.fields.Get("X-Cache-Salt"), "m/1/");
  EXPECT_EQ(sent.fields.Find("X-Kv-Save"), nullptr);
}

TEST(DialectTest, ReadsNotExecutedPromiseAndWrongTarget)
{
  HttpResponseHead head;
  head.status = 503;
  EXPECT_FALSE(Dialect().ReadResponse(head).notRun);
  head.fields.Add("X-Not-Executed", "1");
  EXPECT_TRUE(Dialect().ReadResponse(head).notRun);
  head.status = 421;
  head.fields.Add("X-Instance-Id", "i-2");
  EXPECT_TRUE(Dialect().ReadResponse(head).wrongTarget);
  EXPECT_EQ(Dialect().ReadResponse(head).target, TargetId("i-2"));
}

TEST(DialectTest, ListsAndReleasesRefusedRequestsByFingerprint)
{
  const RequestFingerprint request(0xfedcba9876543210U);
  const std::chrono::milliseconds since(1'790'000'000'000);
  const HttpResponseMessage list = Dialect().RefusedRequestsResponse(
    { { request, RefusedRequest{ WorkspaceId("w"), WallTime(since) } } });
  EXPECT_EQ(list.head.status, 200);
  EXPECT_NE(list.body.find(R"("fingerprint":"18364758544493064720")"), std::string::npos);
  EXPECT_NE(list.body.find(R"("since":1790000000000)"), std::string::npos);
  HttpRequestMessage release;
  release.head.method = "DELETE";
  release.head.target = "/-/refused-requests/18364758544493064720";
  EXPECT_EQ(std::get<RequestRelease>(Dialect().ReadControlCall(release).value()).request, request);
  release.head.target = "/-/refused-requests/x";
  EXPECT_EQ(Dialect().ReadControlCall(release).error().kind, ErrorKind::InvalidArgument);
  release.head.method = "GET";
  release.head.target = "/-/refused-requests";
  EXPECT_TRUE(
    std::holds_alternative<RefusedRequestsQuery>(Dialect().ReadControlCall(release).value()));
}

// Reads the head of a response with the given header.
TargetResponseInfo
ReadResponseWith(const std::string& aName, const std::string& aText)
{
  HttpResponseHead head;
  head.status = 200;
  head.fields.Add(aName, aText);
  return Dialect().ReadResponse(head);
}

TEST(DialectTest, ReadsRateLimitOfTargetAndReportsUnreadableOne)
{
  const auto read = [](const std::string& aText) {
    return ReadResponseWith("Server-Limit", aText);
  };
  EXPECT_EQ(read("3.9").limit, RequestRate{ 3.9 });
  EXPECT_EQ(read("0").limit, RequestRate{ 0 });
  EXPECT_EQ(read("1e9").limit, RequestRate{ 1e9 });
  for (const char* bad : { "", "many", "-1", "nan", "inf", "3.9 a second" }) {
    EXPECT_FALSE(read(bad).limit) << bad;
    EXPECT_TRUE(read(bad).unreadable) << bad;
  }
  EXPECT_FALSE(Dialect().ReadResponse(HttpResponseHead()).limit);
}

TEST(DialectTest, ReadsHowManyRejectionsABrittleTargetBears)
{
  const auto read = [](const std::string& aText) {
    return ReadResponseWith("Server-Brittle", aText);
  };
  EXPECT_EQ(read("3").brittle, RequestRate{ 3 });
  EXPECT_EQ(read("0").brittle, RequestRate{ 0 });
  for (const char* bad : { "", "few", "-1", "nan", "3 a second" }) {
    EXPECT_FALSE(read(bad).brittle) << bad;
    EXPECT_TRUE(read(bad).unreadable) << bad;
  }
  EXPECT_FALSE(Dialect().ReadResponse(HttpResponseHead()).brittle);
}

TEST(DialectTest, TargetIsFullIfItRejectsWithoutRunning)
{
  HttpResponseHead head;
  head.status = 503;
  EXPECT_FALSE(Dialect().ReadResponse(head).full);
  head.fields.Add("X-Not-Executed", "1");
  EXPECT_TRUE(Dialect().ReadResponse(head).full);
  head.status = 421;
  EXPECT_FALSE(Dialect().ReadResponse(head).full);
}

TEST(DialectTest, ReadsRestThatTargetAsksForAndReportsUnreadableOne)
{
  const auto read = [](int aStatus, const std::vector<std::string>& aTexts) {
    HttpResponseHead head;
    head.status = aStatus;
    for (const std::string& text : aTexts) {
      head.fields.Add("Retry-After", text);
    }
    return Dialect().ReadResponse(head);
  };
  EXPECT_EQ(read(503, { "3" }).restFor, std::chrono::seconds(3));
  EXPECT_EQ(read(503, { "0.5" }).restFor, std::chrono::milliseconds(500));
  EXPECT_EQ(read(503, { "0" }).restFor, Duration::zero());
  EXPECT_FALSE(read(503, { "0" }).unreadable);
  EXPECT_EQ(read(503, {}).restFor, Duration::zero());
  EXPECT_FALSE(read(503, {}).unreadable);
  // Only a refusal asks for rest.
  EXPECT_EQ(read(200, { "3" }).restFor, Duration::zero());
  const char* const date = "Fri, 04 Dec 2026 09:00:00 GMT";
  for (const char* bad : { "", "-1", "nan", "inf", "1e300", "soon", date }) {
    EXPECT_EQ(read(503, { bad }).restFor, Duration::zero()) << bad;
    EXPECT_TRUE(read(503, { bad }).unreadable) << bad;
  }
  EXPECT_EQ(read(503, { "1", "2" }).restFor, Duration::zero());
  EXPECT_TRUE(read(503, { "1", "2" }).unreadable);
}

TEST(DialectTest, ReadsThatTargetIsLeavingInAnyResponse)
{
  for (const int status : { 200, 421, 429, 503 }) {
    HttpResponseHead head;
    head.status = status;
    EXPECT_FALSE(Dialect().ReadResponse(head).leaving);
    head.fields.Add("Server-Leaving", "1");
    EXPECT_TRUE(Dialect().ReadResponse(head).leaving);
    head.fields.Set("Server-Leaving", "0");
    EXPECT_FALSE(Dialect().ReadResponse(head).leaving);
  }
}

TEST(DialectTest, AnswersUnavailableOnlyWhenCallDidNotRun)
{
  const Error full{ ErrorKind::Unavailable, "full", "come back" };
  const CallerError notRun{ full, RunOutcome::NotRun, std::chrono::milliseconds(250) };
  const HttpResponseMessage refusal = Dialect().FailureResponse(notRun, RequestId("r"));
  EXPECT_EQ(refusal.head.status, 503);
  EXPECT_EQ(refusal.head.fields.Get("Retry-After"), "0.25");
  const CallerError mayHaveRun{ full, RunOutcome::MayHaveRun, std::nullopt };
  EXPECT_EQ(Dialect().FailureResponse(mayHaveRun, RequestId("r")).head.status, 502);
}

TEST(DialectTest, ReadsHeartbeat)
{
  HttpRequestMessage request;
  request.head.method = "PUT";
  request.head.target = "/-/instances/i-7";
  request.body = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z","version":"v1",)"
                 R"("slots":64,"state":"draining","cold-remaining-ms":0,"stage":"unified",)"
                 R"("models":[{"name":"daka","version":3,"adapters":[]}],"sequence":4})";
  const auto call = Dialect().ReadControlCall(request);
  ASSERT_TRUE(call);
  const TargetRecord& record = std::get<TargetHeartbeat>(call.value()).record;
  EXPECT_EQ(record.id, TargetId("i-7"));
  EXPECT_EQ(record.endpoint, (Endpoint{ "10.128.0.9", 8080 }));
  EXPECT_EQ(record.sequence, Sequence(4));
  EXPECT_EQ(record.software, SoftwareVersion("v1"));
  EXPECT_TRUE(record.leaving);
  ASSERT_EQ(record.models.size(), 1U);
  EXPECT_EQ(record.models.front().version, WeightVersion("3"));
}

HttpRequestMessage
Heartbeat(const std::string& aBody)
{
  HttpRequestMessage request;
  request.head.method = "PUT";
  request.head.target = "/-/instances/i-7";
  request.body = aBody;
  return request;
}

TEST(DialectTest, ReadsIncarnationWhenPresent)
{
  const auto call = Dialect().ReadControlCall(
    Heartbeat(R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"ready","sequence":1,)"
              R"("born":1790000000000})"));
  ASSERT_TRUE(call);
  EXPECT_EQ(std::get<TargetHeartbeat>(call.value()).record.incarnation,
            Incarnation(1'790'000'000'000));
  HttpRequestMessage departure = Heartbeat(R"({"born":1790000000000})");
  departure.head.method = "DELETE";
  const auto left = Dialect().ReadControlCall(departure);
  ASSERT_TRUE(left);
  EXPECT_EQ(std::get<TargetDeparture>(left.value()).incarnation, Incarnation(1'790'000'000'000));
}

TEST(DialectTest, RefusesMalformedHeartbeats)
{
  const std::vector<std::string> bodies{
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","sequence":1})",
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"resting","sequence":1})",
    R"({"address":"10.1.0.9:80","zone":"z","state":"ready","sequence":1})",
    R"({"service":"s","address":"10.1.0.9:80","state":"ready","sequence":1})",
    R"({"service":"s","zone":"z","state":"ready","sequence":1})",
    R"({"service":"s","address":17,"zone":"z","state":"ready","sequence":1})",
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"ready","sequence":"x"})",
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"ready","born":1.5})",
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"ready","born":"now"})",
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"ready","version":2})",
    "\xff\xfe{",
    "[]",
    ""
  };
  for (const std::string& body : bodies) {
    EXPECT_FALSE(Dialect().ReadControlCall(Heartbeat(body))) << body;
  }
}

TEST(DialectTest, SkipsAndCountsUnreadableRowsOfStoreList)
{
  const auto list = Dialect().ReadList(
    R"({"boot-epoch":7,"next":9,"held":[["s1","a",800,"m"],["s1","b"],17,["s1",4,800,"m"],)"
    R"(["s1","c",-3,"m"],["s1","d",1e300,"m"],["s1","e",128,"m"]]})");
  ASSERT_TRUE(list);
  EXPECT_EQ(list.value().parts.size(), 2U);
  EXPECT_EQ(list.value().unreadable, 5U);
}

TEST(DialectTest, ReadsUnfinishedPartsSeparately)
{
  const auto list = Dialect().ReadList(
    R"({"boot-epoch":7,"next":9,"held":[],"partial":[["s1","a",16,800],["s1","b",16]]})");
  ASSERT_TRUE(list);
  const UnfinishedPart part{ PartName{ "s1", "a" }, TokenCount(16), TokenCount(800) };
  EXPECT_EQ(list.value().unfinished, std::vector<UnfinishedPart>{ part });
  EXPECT_EQ(list.value().unreadable, 1U);
}

TEST(DialectTest, SkipsAndCountsUnreadableStoreEvents)
{
  const auto events = Dialect().ReadEvents(
    R"({"boot-epoch":7,"next":9,"lost":false,"events":[[1,"+","s1","a",800,"m"],)"
    R"([2,"?","s1","b",800,"m"],"x",[3,"-","s1","a",800,"m"],[4,"+",null,"b",800,"m"]]})");
  ASSERT_TRUE(events);
  ASSERT_EQ(events.value().events.size(), 2U);
  EXPECT_FALSE(events.value().events.back().added);
  EXPECT_EQ(events.value().unreadable, 3U);
}

TEST(DialectTest, ReadsDepartureAndWeightsCalls)
{
  HttpRequestMessage request;
  request.head.method = "DELETE";
  request.head.target = "/-/instances/i-7";
  EXPECT_EQ(std::get<TargetDeparture>(Dialect().ReadControlCall(request).value()).target,
            TargetId("i-7"));
  request.head.method = "POST";
  request.head.target = "/-/version-put";
  request.body = R"({"model":"daka","version":2})";
  EXPECT_EQ(std::get<WeightVersionChange>(Dialect().ReadControlCall(request).value()).version, 2U);
  request.head.target = "/-/nothing";
  EXPECT_EQ(Dialect().ReadControlCall(request).error().kind, ErrorKind::NotFound);
}

const std::string kConfig =
  R"({"version":7,"routes":[{"name":"r","host":"h.example","path-prefix":"/a/","kind":"streaming",)"
  R"("timeout-ms":15000,"target-latency-ms":600,"priority":2,"traffic-split":[)"
  R"({"service":"e","weight":90},{"service":"p","weight":10}],"max-attempts":2,"public":false,)"
  R"("sticky":true,"resumable":true,"gap-aim-ms":300}],"services":[)"
  R"({"name":"st","kv-store":"172.20.0.6:8006","zone":"z","kv-capacity":435022,)"
  R"("link-mbps":280000.0,"max-in-flight":12,"managed":true,"first_ms":0.5},)"
  R"({"name":"e","health-path":"/healthz","max-connections":370,"protocol":"h1","tls":false,)"
  R"("engine":{"slots":64,"kv-capacity":169011,"kv-token-bytes":35136,"link-mbps":1500000.0,)"
  R"("max-in-flight":12,"models":[{"name":"daka"}]}},)"
  R"({"name":"p","health-path":"/healthz","max-connections":110}],)"
  R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
  R"("idle-timeout-ms":15000},"tenants":[{"name":"w","api-keys":["k1","k2"],"priority":1,)"
  R"("isolated":true}],"later":1})";

TEST(DialectTest, ReadsConfiguration)
{
  const auto config = Dialect().ReadConfig(kConfig);
  ASSERT_TRUE(config) << config.error();
  EXPECT_TRUE(CheckServingConfig(config.value()));
  EXPECT_EQ(config.value().version, Revision(7));
  const ServingRoute& route = config.value().routes.front();
  EXPECT_EQ(route.kind, CallKind::Streaming);
  EXPECT_EQ(route.timeout, std::chrono::seconds(15));
  EXPECT_EQ(route.shares[1], (ServiceShare{ ServiceName("p"), 10 }));
  EXPECT_TRUE(route.resumable);
  const ServingService* store = config.value().FindService(ServiceName("st"));
  ASSERT_NE(store, nullptr);
  ASSERT_TRUE(store->store);
  EXPECT_EQ(store->store->cacheTokens, TokenCount(435022));
  EXPECT_TRUE(store->store->managed);
  EXPECT_EQ(config.value().FindService(ServiceName("e"))->engine->models.front(),
            ModelName("daka"));
  EXPECT_TRUE(config.value().workspaces.front().isolated);
  EXPECT_EQ(config.value().limits.idleTimeout, std::chrono::seconds(15));
}

TEST(DialectTest, RefusesTruncatedConfiguration)
{
  for (std::size_t length = 0; length < kConfig.size(); length += 7) {
    EXPECT_FALSE(Dialect().ReadConfig(kConfig.substr(0, length))) << length;
  }
}

TEST(DialectTest, WrongTypeInConfigurationIsReportedWithFieldName)
{
  std::string wrong = kConfig;
  wrong.replace(wrong.find("15000"), 5, "\"abc\"");
  const auto config = Dialect().ReadConfig(wrong);
  ASSERT_FALSE(config);
  EXPECT_NE(config.error().message.find("timeout-ms"), std::string::npos);
}

TEST(DialectTest, ReadsColdStartAndAllowedRegionsOfConfiguration)
{
  std::string text = kConfig;
  text.replace(text.find(R"("tls":false,)"), 12, R"("cold-start-s":3.0,"cold-per-s":16.0,)");
  text.replace(text.find(R"("sticky":true)"), 13, R"("sticky":true,"allowed-regions":["north"])");
  text.replace(text.find(R"("isolated":true)"), 15, R"("allowed-regions":["north","south"])");
  const auto config = Dialect().ReadConfig(text);
  ASSERT_TRUE(config) << config.error();
  const ColdStartSpec cold{ RequestRate{ 16 }, std::chrono::seconds(3) };
  EXPECT_EQ(config.value().FindService(ServiceName("e"))->cold, cold);
  EXPECT_EQ(config.value().FindService(ServiceName("p"))->cold, std::nullopt);
  EXPECT_EQ(config.value().routes[0].allowedRegions, std::vector<RegionId>{ RegionId("north") });
  EXPECT_EQ(config.value().workspaces[0].allowedRegions.size(), 2U);
}

TEST(DialectTest, ReadsRemainingColdTimeOfHeartbeatsAndResponses)
{
  HttpRequestMessage request;
  request.head.method = "PUT";
  request.head.target = "/-/instances/i-1";
  request.body = R"({"service":"s","address":"10.1.0.9:8080","zone":"z","state":"ready",)"
                 R"("cold-remaining-ms":2500,"models":[],"sequence":1})";
  const auto call = Dialect().ReadControlCall(request);
  ASSERT_TRUE(call) << call.error();
  EXPECT_EQ(std::get<TargetHeartbeat>(call.value()).record.coldFor,
            std::chrono::milliseconds(2500));
  HttpResponseHead head;
  head.status = 200;
  head.fields.Add("X-Cold-Ms", "1500");
  EXPECT_EQ(Dialect().ReadResponse(head).coldFor, std::chrono::milliseconds(1500));
  head.fields.Set("X-Cold-Ms", "soon");
  EXPECT_TRUE(Dialect().ReadResponse(head).unreadable);
}

TEST(DialectTest, ReadsEvacuationCallsAndListsZones)
{
  HttpRequestMessage request;
  request.head.method = "POST";
  request.head.target = "/-/evacuate/hall-north";
  const auto ordered = std::get<EvacuationChange>(Dialect().ReadControlCall(request).value());
  EXPECT_EQ(ordered.zone, ZoneId("hall-north"));
  EXPECT_TRUE(ordered.evacuated);
  request.head.method = "DELETE";
  EXPECT_FALSE(std::get<EvacuationChange>(Dialect().ReadControlCall(request).value()).evacuated);
  request.head.method = "GET";
  request.head.target = "/-/evacuate";
  EXPECT_TRUE(std::holds_alternative<EvacuationQuery>(Dialect().ReadControlCall(request).value()));
  EvacuationRegistry evacuations;
  evacuations.Apply(
    SetEvacuation{ ZoneId("hall-north"), true, 0, WallTime(std::chrono::milliseconds(77)) });
  EXPECT_EQ(Dialect().EvacuationResponse(evacuations).body,
            R"({"zones":[{"evacuated":true,"since":77,"zone":"hall-north"}]})");
}

} // namespace
} // namespace damasklink::platform
