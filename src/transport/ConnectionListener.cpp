#include "damasklink/transport/ConnectionListener.h"

#include "damasklink/transport/Log.h"

namespace damasklink {

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
    } else {
      auto connection = std::make_shared<CallerConnection>(std::move(aSocket));
      asio::co_spawn(this->loop, this->serve(connection), asio::detached);
    }
    this->Accept();
  });
}

} // namespace damasklink
