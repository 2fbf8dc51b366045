#include "damasklink/coordination/RequestFingerprint.h"

#include "damasklink/state/Bytes.h"
#include "damasklink/state/Digests.h"

namespace damasklink {

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
  const DigestBytes whole = PackedDigestOf(writer.Take());
  ByteReader reader(std::string_view(reinterpret_cast<const char*>(whole.data()), whole.size()));
  return RequestFingerprint(reader.Number());
}

} // namespace damasklink
