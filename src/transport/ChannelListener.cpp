#include "damasklink/transport/ChannelListener.h"

#include "damasklink/transport/Log.h"

namespace damasklink {

Result<void>
ChannelListener::Listen(const Endpoint& aEndpoint, Serve aServe)
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
ChannelListener::Close()
{
  if (this->acceptor != nullptr) {
    IoError ignored;
    this->acceptor->close(ignored);
  }
}

void
ChannelListener::Accept()
{
  this->acceptor->async_accept([this](const IoError& aError, TcpSocket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      LogEvent(LogLevel::Warning, "accept_failed").With("reason", aError.message());
    } else {
      auto channel = std::make_shared<CallerChannel>(std::move(aSocket));
      asio::co_spawn(this->loop, this->serve(channel), asio::detached);
    }
    this->Accept();
  });
}

} // namespace damasklink
