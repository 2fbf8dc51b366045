#include "damasklink/coordination/RequestFingerprint.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

RequestIdentity
Identity()
{
  return RequestIdentity{ WorkspaceId("w"), "h", "POST", "/jobs/7?x=1", "body" };
}

TEST(RequestFingerprintTest, IsTheSameOnEveryHostAndBuild)
{
  EXPECT_EQ(FingerprintOf(Identity()), FingerprintOf(Identity()));
  // Fingerprints are sent between hosts of different builds and stored in files.
  EXPECT_EQ(FingerprintOf(RequestIdentity{}), RequestFingerprint(15051567215856270734U));
}

TEST(RequestFingerprintTest, DependsOnEveryFieldOfTheIdentity)
{
  const RequestFingerprint own = FingerprintOf(Identity());
  RequestIdentity other = Identity();
  other.workspace = WorkspaceId("v");
  EXPECT_NE(FingerprintOf(other), own);
  other = Identity();
  other.host = "i";
  EXPECT_NE(FingerprintOf(other), own);
  other = Identity();
  other.method = "PUT";
  EXPECT_NE(FingerprintOf(other), own);
  other = Identity();
  other.path = "/jobs/7?x=2";
  EXPECT_NE(FingerprintOf(other), own);
  other = Identity();
  other.body = "bodz";
  EXPECT_NE(FingerprintOf(other), own);
}

TEST(RequestFingerprintTest, KeepsAdjacentFieldsApart)
{
  RequestIdentity left = Identity();
  left.method = "PO";
  left.path = "ST/";
  RequestIdentity right = Identity();
  right.method = "POST";
  right.path = "/";
  EXPECT_NE(FingerprintOf(left), FingerprintOf(right));
}

} // namespace
} // namespace damasklink
