// Calls over HTTP from a test to a host of its own.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "support/ScriptedTarget.h"

namespace damasklink::testing {

// Sends one call and returns its whole answer, empty when there was none.
inline std::string
Send(const Endpoint& aTo, const std::string& aHead, const std::string& aBody)
{
  asio::io_context context;
  TcpSocket socket(context);
  IoError error;
  socket.connect(ToTcpEndpoint(aTo), error);
  if (error) {
    return "";
  }
  Write(socket, aHead + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  std::string buffer;
  return ReadMessage(socket, buffer);
}

// Repeats a call until its answer begins as it should: hosts find each other in their own time.
inline std::string
SendUntil(const std::string& aBeginning, const std::function<std::string()>& aSend)
{
  while (true) {
    std::string answer = aSend();
    if (answer.substr(0, aBeginning.size()) == aBeginning) {
      return answer;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

} // namespace damasklink::testing
