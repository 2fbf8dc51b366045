// Loopback addresses and ports for tests that listen.
#pragma once

#include <unistd.h>

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

// Returns an endpoint of the address that was free a moment ago.
inline Endpoint
FreeEndpoint(const std::string& aAddress)
{
  asio::io_context context;
  TcpAcceptor probe(context, TcpEndpoint(asio::ip::make_address(aAddress), 0));
  return Endpoint{ aAddress, probe.local_endpoint().port() };
}

} // namespace damasklink::testing
