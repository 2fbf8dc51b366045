#include "damasklink/coordination/RequestFingerprint.h"

#include "damasklink/state/Bytes.h"
#include "damasklink/state/Digests.h"

namespace damasklink {
namespace {

RequestFingerprint
DigestFingerprint(std::string_view aText)
{
  const DigestBytes digest = PackedDigestOf(aText);
  ByteReader reader(std::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
  return RequestFingerprint(reader.Number());
}

} // namespace

RequestFingerprint
FingerprintOfPart(std::string_view aPart)
{
  ByteWriter writer;
  writer.Text("part");
  writer.Text(aPart);
  return DigestFingerprint(writer.Take());
}

RequestFingerprint
FingerprintOf(const RequestIdentity& aIdentity)
{
  const DigestBytes body = PackedDigestOf(aIdentity.body);
  ByteWriter writer;
  writer.Text(aIdentity.workspace.Value());
  writer.Text(aIdentity.host);
  writer.Text(aIdentity.method);
  writer.Text(aIdentity.path);
  writer.Text(std::string_view(reinterpret_cast<const char*>(body.data()), body.size()));
  return DigestFingerprint(writer.Take());
}

} // namespace damasklink
