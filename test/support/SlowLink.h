// The link of one host at a given rate: a relay that whatever comes to that host goes through.
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <thread>

#include "damasklink/transport/EventLoop.h"

namespace damasklink::testing {

// Takes connections on behalf of other addresses and passes bytes on, those towards the dialer one
// after another at the rate of the link, whichever connection they are of. Bytes the other way are
// passed on at once.
//
//   SlowLink link(1'250'000);
//   link.Relay(Endpoint{ "127.0.0.2", 7001 }, Endpoint{ "127.0.0.2", 7000 });
//   link.Start();
class SlowLink
{
public:
  explicit SlowLink(double aBytesPerSecond)
    : rate(aBytesPerSecond)
  {
  }

  ~SlowLink()
  {
    this->loop.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  SlowLink(const SlowLink&) = delete;
  SlowLink& operator=(const SlowLink&) = delete;

  // Passes connections to one endpoint on to another one. Call before Start().
  void Relay(const Endpoint& aFrom, const Endpoint& aTo)
  {
    auto acceptor = std::make_shared<TcpAcceptor>(this->loop, ToTcpEndpoint(aFrom));
    this->Accept(acceptor, ToTcpEndpoint(aTo));
  }

  void Start()
  {
    this->thread = std::thread([this] { this->loop.run(); });
  }

  // Bytes that have come to the dialer so far.
  std::size_t Received() const { return this->received; }

private:
  using Clock = std::chrono::steady_clock;

  // Small, so that what a host has not received is still on its way and not in a buffer of ours.
  static constexpr std::size_t kPiece = 4096;
  static constexpr int kBuffer = 16384;

  struct Pair
  {
    explicit Pair(asio::io_context& aLoop)
      : near(aLoop)
      , far(aLoop)
      , slot(aLoop)
    {
    }

    void Close()
    {
      IoError ignored;
      this->near.close(ignored);
      this->far.close(ignored);
      this->slot.cancel();
    }

    TcpSocket near;
    TcpSocket far;
    asio::steady_timer slot;
    std::array<char, kPiece> out{};
    std::array<char, kPiece> in{};
  };

  void Accept(const std::shared_ptr<TcpAcceptor>& aAcceptor, const TcpEndpoint& aTo)
  {
    auto pair = std::make_shared<Pair>(this->loop);
    aAcceptor->async_accept(pair->near, [this, aAcceptor, aTo, pair](const IoError& aError) {
      if (aError) {
        return;
      }
      pair->near.set_option(asio::socket_base::send_buffer_size(kBuffer));
      pair->far.open(aTo.protocol());
      pair->far.set_option(asio::socket_base::receive_buffer_size(kBuffer));
      pair->far.async_connect(aTo, [this, pair](const IoError& aFailed) {
        if (aFailed) {
          pair->Close();
          return;
        }
        SetNoDelay(pair->near);
        SetNoDelay(pair->far);
        this->PassOut(pair);
        this->PassIn(pair);
      });
      this->Accept(aAcceptor, aTo);
    });
  }

  void PassOut(const std::shared_ptr<Pair>& aPair)
  {
    aPair->near.async_read_some(
      asio::buffer(aPair->out), [this, aPair](const IoError& aError, std::size_t aCount) {
        if (aError) {
          aPair->Close();
          return;
        }
        asio::async_write(aPair->far,
                          asio::buffer(aPair->out, aCount),
                          [this, aPair](const IoError& aFailed, std::size_t) {
                            aFailed ? aPair->Close() : this->PassOut(aPair);
                          });
      });
  }

  void PassIn(const std::shared_ptr<Pair>& aPair)
  {
    aPair->far.async_read_some(
      asio::buffer(aPair->in), [this, aPair](const IoError& aError, std::size_t aCount) {
        if (aError) {
          aPair->Close();
          return;
        }
        this->received += aCount;
        const std::chrono::duration<double> taken(static_cast<double>(aCount) / this->rate);
        this->freeAt =
          std::max(this->freeAt, Clock::now()) + std::chrono::duration_cast<Clock::duration>(taken);
        aPair->slot.expires_at(this->freeAt);
        aPair->slot.async_wait([this, aPair, aCount](const IoError& aCut) {
          if (aCut) {
            return;
          }
          asio::async_write(aPair->near,
                            asio::buffer(aPair->in, aCount),
                            [this, aPair](const IoError& aFailed, std::size_t) {
                              aFailed ? aPair->Close() : this->PassIn(aPair);
                            });
        });
      });
  }

  asio::io_context loop{ 1 };
  double rate;
  // When the link has passed on all that it took.
  Clock::time_point freeAt;
  std::atomic<std::size_t> received{ 0 };
  std::thread thread;
};

} // namespace damasklink::testing
