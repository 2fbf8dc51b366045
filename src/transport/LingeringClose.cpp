#include "damasklink/transport/LingeringClose.h"

namespace damasklink {

Awaitable<LingerEnd>
LingeringClose::End(CallerConnection& aConnection)
{
  if (this->count >= this->most && aConnection.MayLinger()) {
    aConnection.Close();
    co_return LingerEnd::TooMany;
  }
  ++this->count;
  const LingerEnd end = co_await aConnection.Linger(this->bounds);
  --this->count;
  co_return end;
}

} // namespace damasklink
