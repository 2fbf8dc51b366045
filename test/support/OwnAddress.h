// Loopback addresses and ports for tests that listen.
#pragma once

#include <unistd.h>

#include <mutex>
#include <set>
#include <string>

#include "damasklink/transport/EventLoop.h"

namespace damasklink::testing {

// Returns an address of this machine that belongs to this process alone, so that tests which run at
// the same time cannot take each other's ports.
inline std::string
OwnAddress(int aHost)
{
  const auto process = static_cast<unsigned>(getpid());
  constexpr unsigned kByte = 256;
  return "127." + std::to_string(1 + process / kByte % (kByte - 2)) + "." +
         std::to_string(process % kByte) + "." + std::to_string(aHost);
}

// Listens on a free port of an address of this process alone. The kernel offers a port again only a
// minute after its last connection, so the ports of an address that all tests share run out.
inline TcpAcceptor
ListenOnFreePort(asio::io_context& aContext)
{
  constexpr int kHost = 254;
  return TcpAcceptor(aContext, TcpEndpoint(asio::ip::make_address(OwnAddress(kHost)), 0));
}

// Returns where the acceptor listens.
inline Endpoint
AddressOf(const TcpAcceptor& aAcceptor)
{
  const TcpEndpoint endpoint = aAcceptor.local_endpoint();
  return Endpoint{ endpoint.address().to_string(), endpoint.port() };
}

// Returns an endpoint of the address that was free a moment ago, with a port that no earlier call
// returned for any address: nobody listens on those yet, so the kernel may offer them again.
inline Endpoint
FreeEndpoint(const std::string& aAddress)
{
  static std::mutex mutex;
  static std::set<std::uint16_t> given;
  const std::lock_guard<std::mutex> lock(mutex);
  while (true) {
    asio::io_context context;
    const TcpAcceptor probe(context, TcpEndpoint(asio::ip::make_address(aAddress), 0));
    const std::uint16_t port = probe.local_endpoint().port();
    if (given.insert(port).second) {
      return Endpoint{ aAddress, port };
    }
  }
}

} // namespace damasklink::testing
