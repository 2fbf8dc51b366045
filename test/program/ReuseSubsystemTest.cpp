#include "ReuseSubsystem.h"

#include <thread>

#include "TrafficFixture.h"
#include "damasklink/coordination/BlockNames.h"
#include "damasklink/protocol/StoresCodec.h"

namespace damasklink {
namespace {

constexpr std::uint64_t kPromptBlocks = 4;

// Objective: seconds of waiting that are worth as much as recomputing 1,000 tokens. So high that
// any wait for an import is accepted.
constexpr double kHighRecomputeCost = 1e6;

// An engine that confirms all orders to export and import, and records the imports.
class FakeEngine
{
public:
  FakeEngine()
    : server(ScriptedTarget::Options())
  {
    this->server.Route(
      "POST", kExportPath, [this](const HttpRequest& aRequest) { return this->Export(aRequest); });
    this->server.Route(
      "POST", kImportPath, [this](const HttpRequest& aRequest) { return this->Import(aRequest); });
    EXPECT_TRUE(this->server.Start());
  }

  Endpoint Address() const { return this->server.Address(); }

  HttpResponse Export(const HttpRequest& aRequest)
  {
    const ExportOrder order = ParseExportOrder(aRequest.body).value();
    std::vector<ExportedBlock> exported;
    for (const ReservedBlock& block : order.blocks) {
      exported.push_back({ block.block, block.generation, block.length, Checksum(77) });
    }
    HttpResponse response;
    response.body = FormatExported(exported);
    return response;
  }

  HttpResponse Import(const HttpRequest& aRequest)
  {
    absl::MutexLock lock(&this->mutex);
    this->imports.push_back(ParseImportOrder(aRequest.body).value());
    const std::vector<BlockHeader>& blocks = this->imports.back().blocks;
    ImportReport report{ blocks.size(), {} };
    if (this->refuses) {
      report = { 0, { blocks.front().block } };
    }
    HttpResponse response;
    response.body = FormatImportReport(report);
    return response;
  }

  std::vector<ImportOrder> Imports()
  {
    absl::MutexLock lock(&this->mutex);
    return this->imports;
  }

  absl::Mutex mutex;
  std::vector<ImportOrder> imports;
  bool refuses = false;

private:
  HttpServer server;
};

class ReuseSubsystemTest : public TrafficFixture
{
protected:
  ReuseSubsystemTest()
    : store(ScriptedTarget::Options())
  {
    this->store.Route("GET", kBlocksPath, [](const HttpRequest&) {
      HttpResponse response;
      response.body = FormatInventory({});
      return response;
    });
    this->store.Route("POST", "/.*", [](const HttpRequest&) { return HttpResponse(); });
    EXPECT_TRUE(this->store.Start());
    EXPECT_TRUE(this->reuse.Start());
    this->StartHost();
  }

  ~ReuseSubsystemTest() override { this->control.Stop(); }

  // Adds an engine and a store in the given zone to the view.
  void Announce(const std::string& aStoreZone)
  {
    TargetRecord engineRecord;
    engineRecord.id = TargetId("engine-1");
    engineRecord.endpoint = this->engine.Address();
    engineRecord.incarnation = Incarnation(1);
    engineRecord.sequence = Sequence(1);
    engineRecord.models = { { ModelName("plates-7b"), WeightVersion("v1"), {} } };
    TargetRecord storeRecord;
    storeRecord.id = TargetId("store-1");
    storeRecord.kind = TargetKind::Store;
    storeRecord.zone = ZoneId(aStoreZone);
    storeRecord.endpoint = this->store.Address();
    storeRecord.store = { ByteCount(1 << 20), ByteCount(0), ByteCount(1 << 20), ByteCount(64) };
    this->control.Post([this, engineRecord, storeRecord] {
      this->SetTargets({ engineRecord, storeRecord });
    });
  }

  RouteRequest LookUp()
  {
    RouteRequest request;
    request.workspace = WorkspaceId("office");
    request.model = ModelName("plates-7b");
    request.grants = { ModelGrant{ ModelName("plates-7b"), {} } };
    const std::string prompt(kPromptBlocks * kBlockTokens * sizeof(Token), 'p');
    this->reuse.Reuse().LookUp(prompt, request);
    return request;
  }

  // Repeats the look-up until the store's owner reports aBlocks stored blocks.
  RouteRequest LookUpUntilStored(std::uint64_t aBlocks)
  {
    RouteRequest request = this->LookUp();
    while (request.stored.empty() || request.stored.front().blocks != aBlocks) {
      std::this_thread::yield();
      request = this->LookUp();
    }
    return request;
  }

  // Handles the end of an answered prompt, which exports its blocks to the store.
  void Store(const RouteRequest& aRequest)
  {
    ASSERT_TRUE(this->reuse.Routing().ChooseAndSend(aRequest, this->views.Get()->targets));
    this->reuse.Reuse().OnAnswered(aRequest, this->Decision(), AnswerUsage());
  }

  // Repeats the import until the engine gets an order: on a loaded machine the owner's grant may
  // arrive after the wait for it has ended, and the prompt is then computed instead. The high cost
  // of recomputing lengthens that wait, so that no second import starts while the first order is
  // sent.
  void ImportUntilOrdered(RouteRequest aRequest, const RouteDecision& aDecision)
  {
    aRequest.objective.recompute = kHighRecomputeCost;
    while (this->engine.Imports().empty()) {
      this->reuse.Reuse().ImportBlocks(aRequest, aDecision);
    }
  }

  RouteDecision Decision()
  {
    RouteDecision decision;
    decision.target = TargetId("engine-1");
    decision.endpoint = this->engine.Address();
    decision.version = WeightVersion("v1");
    decision.importFrom = StoreId("store-1");
    decision.importBlocks = kPromptBlocks;
    return decision;
  }

  HttpServer store;
  FakeEngine engine;
};

TEST_F(ReuseSubsystemTest, ExportsAnsweredPromptAndImportsItAgain)
{
  this->Announce("hall-north");
  RouteRequest request = this->LookUpUntilStored(0);
  this->Store(request);
  request = this->LookUpUntilStored(kPromptBlocks);
  this->ImportUntilOrdered(request, this->Decision());
  const std::vector<ImportOrder> imports = this->engine.Imports();
  ASSERT_EQ(imports.size(), 1U);
  ASSERT_EQ(imports[0].blocks.size(), kPromptBlocks);
  EXPECT_EQ(imports[0].store, this->store.Address());
  EXPECT_EQ(imports[0].blocks[0].scope.workspace, WorkspaceId("office"));
  EXPECT_EQ(imports[0].blocks[0].checksum, Checksum(77));
  EXPECT_GT(imports[0].blocks[0].generation, Generation());
}

TEST_F(ReuseSubsystemTest, ImportsOnlyBlocksThatTargetLacks)
{
  this->Announce("hall-north");
  this->Store(this->LookUpUntilStored(0));
  const RouteRequest request = this->LookUpUntilStored(kPromptBlocks);
  RouteDecision decision = this->Decision();
  decision.heldBlocks = 3;
  this->ImportUntilOrdered(request, decision);
  ASSERT_EQ(this->engine.Imports().size(), 1U);
  EXPECT_EQ(this->engine.Imports()[0].blocks.size(), 1U);
}

TEST_F(ReuseSubsystemTest, DoesNotOfferBlockAgainThatEngineRefused)
{
  this->Announce("hall-north");
  this->Store(this->LookUpUntilStored(0));
  const RouteRequest request = this->LookUpUntilStored(kPromptBlocks);
  {
    absl::MutexLock lock(&this->engine.mutex);
    this->engine.refuses = true;
  }
  this->ImportUntilOrdered(request, this->Decision());
  EXPECT_EQ(this->engine.Imports().size(), 1U);
  this->LookUpUntilStored(0);
}

TEST_F(ReuseSubsystemTest, DoesNotImportOverTooSlowLink)
{
  this->Announce("hall-north");
  this->Store(this->LookUpUntilStored(0));
  RouteRequest request = this->LookUpUntilStored(kPromptBlocks);
  request.stored.front().freeBytesPerSecond = 1;
  this->reuse.Reuse().ImportBlocks(request, this->Decision());
  EXPECT_TRUE(this->engine.Imports().empty());
}

TEST_F(ReuseSubsystemTest, TreatsUnresponsiveStoreOwnerAsEmpty)
{
  this->Announce("hall-south");
  const OwnerNotice notice{ StoreId("store-1"), HostId("south-1"), FencingNumber(5) };
  this->control.PostPeerMessage(
    HostId("south-1"), PeerMessage{ Channel::Stores, GroupId(), EncodeStoresMessage(notice) });
  RouteRequest request = this->LookUp();
  while (request.blocksVersion.Empty()) {
    request = this->LookUp();
  }
  EXPECT_TRUE(request.stored.empty());
  EXPECT_EQ(request.blocks.size(), kPromptBlocks);
}

TEST_F(ReuseSubsystemTest, NamesBlocksByWorkspaceAndVersion)
{
  this->Announce("hall-north");
  const RouteRequest request = this->LookUpUntilStored(0);
  const std::string prompt(kPromptBlocks * kBlockTokens * sizeof(Token), 'p');
  const BlockScope scope{
    WorkspaceId("office"), ModelName("plates-7b"), WeightVersion("v1"), AdapterName()
  };
  EXPECT_EQ(request.blocks, NameBlocks(scope, FourByteTokenizer().Tokenize(prompt)));
}

} // namespace
} // namespace damasklink
