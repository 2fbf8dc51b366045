#include "damasklink/transport/ConnectionListener.h"

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(20);

} // namespace

Result<void>
ConnectionListener::Listen(const Endpoint& aEndpoint, Serve aServe)
{
  auto opened = ListenOn(this->loop, aEndpoint);
  if (!opened) {
    return Fail(opened.error());
  }
  this->serve = std::move(aServe);
  this->acceptor = std::make_unique<TcpAcceptor>(std::move(opened.value()));
  this->Accept();
  return Success();
}

void
ConnectionListener::Close()
{
  this->pause.cancel();
  if (this->acceptor != nullptr) {
    IoError ignored;
    this->acceptor->close(ignored);
  }
}

void
ConnectionListener::Accept()
{
  this->acceptor->async_accept([this](const IoError& aError, TcpSocket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      LogEvent(LogLevel::Warning, "accept_failed").With("reason", aError.message());
      this->AcceptLater();
      return;
    }
    auto connection = std::make_shared<CallerConnection>(std::move(aSocket));
    asio::co_spawn(this->loop, this->serve(connection), asio::detached);
    this->Accept();
  });
}

// Without a free descriptor every attempt fails at once, and the connection stays in the queue.
void
ConnectionListener::AcceptLater()
{
  this->pause.expires_after(kPauseAfterFailure);
  this->pause.async_wait([this](const IoError& aError) {
    if (!aError) {
      this->Accept();
    }
  });
}

} // namespace damasklink
