// A target on a free port of this machine that answers each request by a script.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "damasklink/transport/EventLoop.h"
#include "support/OwnAddress.h"

namespace damasklink::testing {

// Reads one message, body included, from a blocking socket. Returns an empty text at the end.
inline std::string
ReadMessage(TcpSocket& aSocket, std::string& aBuffer)
{
  IoError error;
  const auto need = [&](auto aEnough) {
    while (!aEnough() && !error) {
      char bytes[4096];
      const std::size_t count = aSocket.read_some(asio::buffer(bytes), error);
      aBuffer.append(bytes, count);
    }
    return aEnough();
  };
  if (!need([&] { return aBuffer.find("\r\n\r\n") != std::string::npos; })) {
    return "";
  }
  std::size_t length = aBuffer.find("\r\n\r\n") + 4;
  const std::size_t stated = aBuffer.find("Content-Length: ");
  if (stated != std::string::npos && stated < length) {
    length += std::stoul(aBuffer.substr(stated + 16));
  }
  if (!need([&] { return aBuffer.size() >= length; })) {
    return "";
  }
  std::string message = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return message;
}

class ScriptedTarget
{
public:
  // Given a request, writes to the connection. Returns whether the connection is kept.
  using Script = std::function<bool(const std::string& aRequest, TcpSocket& aSocket)>;

  explicit ScriptedTarget(Script aScript)
    : script(std::move(aScript))
    , acceptor(ListenOnFreePort(this->context))
    , thread([this] { this->Run(); })
  {
  }

  ~ScriptedTarget()
  {
    {
      absl::MutexLock lock(&this->mutex);
      this->stopped = true;
      // Ends the reads of connections that the other side keeps.
      for (const std::shared_ptr<TcpSocket>& socket : this->sockets) {
        IoError ignored;
        socket->shutdown(TcpSocket::shutdown_both, ignored);
      }
    }
    // Wakes the thread that accepts.
    TcpSocket wake(this->context);
    IoError ignored;
    wake.connect(this->acceptor.local_endpoint(), ignored);
    wake.close(ignored);
    this->thread.join();
    for (std::thread& connection : this->connections) {
      connection.join();
    }
  }

  Endpoint Address() const { return AddressOf(this->acceptor); }

  std::deque<std::string> Requests()
  {
    absl::MutexLock lock(&this->mutex);
    return this->requests;
  }

  std::size_t Connections()
  {
    absl::MutexLock lock(&this->mutex);
    return this->connections.size();
  }

  // Waits until the other side has closed a connection that a script left open.
  static void AwaitClose(TcpSocket& aSocket)
  {
    char byte = 0;
    IoError error;
    while (!error) {
      aSocket.read_some(asio::buffer(&byte, 1), error);
    }
  }

private:
  void Run()
  {
    while (true) {
      IoError error;
      auto socket = std::make_shared<TcpSocket>(this->context);
      this->acceptor.accept(*socket, error);
      absl::MutexLock lock(&this->mutex);
      if (this->stopped || error) {
        return;
      }
      this->sockets.push_back(socket);
      this->connections.emplace_back([this, socket] { this->Serve(*socket); });
    }
  }

  void Serve(TcpSocket& aSocket)
  {
    std::string buffer;
    bool kept = true;
    while (kept) {
      const std::string request = ReadMessage(aSocket, buffer);
      if (request.empty()) {
        return;
      }
      {
        absl::MutexLock lock(&this->mutex);
        this->requests.push_back(request);
      }
      kept = this->script(request, aSocket);
    }
    IoError ignored;
    aSocket.shutdown(TcpSocket::shutdown_both, ignored);
    aSocket.close(ignored);
  }

  Script script;
  asio::io_context context;
  TcpAcceptor acceptor;
  absl::Mutex mutex;
  bool stopped = false;
  std::deque<std::string> requests;
  std::deque<std::shared_ptr<TcpSocket>> sockets;
  std::deque<std::thread> connections;
  std::thread thread;
};

// Writes a text to a blocking socket.
inline void
Write(TcpSocket& aSocket, const std::string& aText)
{
  IoError ignored;
  asio::write(aSocket, asio::buffer(aText), ignored);
}

} // namespace damasklink::testing
