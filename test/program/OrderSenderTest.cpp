#include "program/OrderSender.h"

#include <atomic>

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include "damasklink/transport/HttpServer.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

// A target that counts the orders it receives, and a sender whose lease the test sets.
class OrderSenderTest : public ::testing::Test
{
protected:
  OrderSenderTest()
    : server(
        { Endpoint{ testing::OwnAddress(1), 0 }, 2, ByteCount(kMebibyte), std::chrono::seconds(1) })
  {
    this->server.Route("POST", "/v1/orders", [this](const HttpRequest&) {
      this->arrived.fetch_add(1);
      HttpResponse response;
      response.status = this->status;
      return response;
    });
    EXPECT_TRUE(this->server.Start());
  }

  OrderOutcome SendOne()
  {
    absl::Notification sent;
    OrderOutcome outcome = OrderOutcome::NotKnown;
    OrderSender sender(
      this->lease, std::chrono::seconds(5), [&](const TargetId&, OrderOutcome aOutcome) {
        outcome = aOutcome;
        sent.Notify();
      });
    sender.Start();
    TargetOrder order;
    order.endpoint = this->server.Address();
    order.desired = ServedModel{ ModelName("m"), WeightVersion("v"), {} };
    sender.Send(order);
    sent.WaitForNotification();
    return outcome;
  }

  ManualClock clock;
  LeaseStamp lease{ clock };
  HttpServer server;
  std::atomic<int> arrived{ 0 };
  int status = 200;
};

TEST_F(OrderSenderTest, SendsWhileLeaseIsHeld)
{
  this->lease.Set(true);
  EXPECT_EQ(this->SendOne(), OrderOutcome::Accepted);
  EXPECT_EQ(this->arrived.load(), 1);
}

TEST_F(OrderSenderTest, SendsNothingAfterLeaseEnded)
{
  this->lease.Set(true);
  this->lease.Set(false);
  EXPECT_EQ(this->SendOne(), OrderOutcome::NotSent);
  EXPECT_EQ(this->arrived.load(), 0);
}

TEST_F(OrderSenderTest, LeaseExpiresWhenControlThreadIsSuspended)
{
  this->lease.Set(true);
  this->clock.Advance(LeaseStamp::kFresh);
  EXPECT_EQ(this->SendOne(), OrderOutcome::NotSent);
  EXPECT_EQ(this->arrived.load(), 0);
}

TEST_F(OrderSenderTest, ReportsRefusalOfTarget)
{
  this->lease.Set(true);
  this->status = 409;
  EXPECT_EQ(this->SendOne(), OrderOutcome::Refused);
}

} // namespace
} // namespace damasklink
