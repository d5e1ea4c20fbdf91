// The network between the system and one server: passes channels on from one
// address to another one. SIGUSR1 cuts it: nothing passes any more, also no
// close, and no channel opens. SIGUSR2 heals it: what was held up passes.
//
//   Link --from=IP --to=IP     both at port 8000
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

namespace {

volatile sig_atomic_t is_cut = 0;

sockaddr_in AddressOf(const std::string& ip) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(8000);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int OpenListener(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 256) != 0) {
    std::cerr << "cannot listen at " << ip << "\n";
    _exit(2);
  }
  return fd;
}

// One direction of a channel: what `from` sends goes to `to`.
struct Direction {
  int from, to;
  bool is_open = true;
};
struct Channel {
  Direction there, back;
};

// Whether the server's port takes channels.
bool is_up(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = AddressOf(ip);
  const bool is_accepted =
      connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0;
  close(fd);
  return is_accepted;
}

// Returns false once the direction has ended. A reset is passed on as a reset.
bool Pass(Direction& direction, bool& is_reset) {
  char buffer[65536];
  const ssize_t n = recv(direction.from, buffer, sizeof buffer, MSG_DONTWAIT);
  if (n < 0) {
    is_reset = errno != EAGAIN && errno != EWOULDBLOCK;
    return true;
  }
  if (n == 0) {
    shutdown(direction.to, SHUT_WR);
    return false;
  }
  send(direction.to, buffer, static_cast<size_t>(n), MSG_NOSIGNAL);
  return true;
}

void Reset(int fd) {
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close(fd);
}

}  // namespace

int main(int count, char** arguments) {
  std::string from, to;
  for (int i = 1; i < count; ++i) {
    const std::string word = arguments[i];
    const size_t equals = word.find('=');
    if (word.substr(0, equals) == "--from")
      from = word.substr(equals + 1);
    if (word.substr(0, equals) == "--to")
      to = word.substr(equals + 1);
  }
  signal(SIGPIPE, SIG_IGN);
  struct sigaction action {};
  action.sa_handler = [](int number) { is_cut = number == SIGUSR1 ? 1 : 0; };
  sigaction(SIGUSR1, &action, nullptr);
  sigaction(SIGUSR2, &action, nullptr);
  int listener = OpenListener(from);
  const int on = 1;
  std::vector<Channel> channels;
  while (true) {
    if (is_cut != 0) {
      if (listener >= 0) {
        close(listener);
        listener = -1;
      }
      poll(nullptr, 0, 10);
      continue;
    }
    if (listener < 0 && is_up(to))
      listener = OpenListener(from);
    std::vector<pollfd> waits{{listener, POLLIN, 0}};
    for (const Channel& channel : channels) {
      for (const Direction* direction : {&channel.there, &channel.back}) {
        waits.push_back({direction->is_open ? direction->from : -1, POLLIN, 0});
      }
    }
    if (poll(waits.data(), waits.size(), 10) < 0 || is_cut != 0)
      continue;
    for (size_t i = 0; i < channels.size(); ++i) {
      Channel& channel = channels[i];
      bool is_reset = false;
      if (waits[1 + 2 * i].revents != 0) {
        channel.there.is_open = Pass(channel.there, is_reset);
      }
      if (!is_reset && waits[2 + 2 * i].revents != 0) {
        // A server that has ended takes no channels by the time its close is
        // seen.
        if (listener >= 0 && !is_up(to)) {
          close(listener);
          listener = -1;
        }
        channel.back.is_open = Pass(channel.back, is_reset);
      }
      if (is_reset || (!channel.there.is_open && !channel.back.is_open)) {
        is_reset ? Reset(channel.there.from)
                 : static_cast<void>(close(channel.there.from));
        is_reset ? Reset(channel.back.from)
                 : static_cast<void>(close(channel.back.from));
        channel.there.from = -1;
      }
    }
    std::erase_if(channels, [](const Channel& channel) {
      return channel.there.from == -1;
    });
    if (listener >= 0 && waits[0].revents != 0) {
      const int caller = accept(listener, nullptr, nullptr);
      if (caller < 0)
        continue;
      const int server = socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in address = AddressOf(to);
      // A port without a listener resets the channel.
      if (connect(server, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        close(server);
        Reset(caller);
        continue;
      }
      setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      channels.push_back({{caller, server}, {server, caller}});
    }
  }
}
