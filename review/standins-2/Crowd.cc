// A crowd of clients: each opens a channel, sends a whole head of many short
// lines and all but the last byte of a short body, and waits. Prints how many
// channels were opened, and how many were answered or closed.
//
//   Crowd --to=IP:PORT --count=N --head_bytes=B --seconds=T
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

int main(int count, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string to;
  int clients = 100, seconds = 3;
  size_t head_bytes = 16000;
  for (int i = 1; i < count; ++i) {
    const std::string word = arguments[i];
    const size_t equals = word.find('=');
    const std::string name = word.substr(0, equals);
    const std::string value = word.substr(equals + 1);
    if (name == "--to")
      to = value;
    if (name == "--count")
      clients = std::stoi(value);
    if (name == "--head_bytes")
      head_bytes = std::stoul(value);
    if (name == "--seconds")
      seconds = std::stoi(value);
  }
  std::string request =
      "POST /issue/x HTTP/1.1\r\nHost: app.test\r\nX-Api-Key: key-huber\r\n"
      "X-Deadline-Ms: 8000\r\nContent-Length: 100\r\n";
  while (request.size() + 6 <= head_bytes)
    request += "a:\r\n";
  request += "\r\n" + std::string(99, 'x');
  const size_t colon = to.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<uint16_t>(std::atoi(to.c_str() + colon + 1)));
  inet_pton(AF_INET, to.substr(0, colon).c_str(), &address.sin_addr);
  std::vector<pollfd> channels;
  for (int i = 0; i < clients; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
      close(fd);
      continue;
    }
    channels.push_back({fd, POLLIN, 0});
    usleep(1000);
  }
  sleep(static_cast<unsigned>(seconds));
  poll(channels.data(), channels.size(), 0);
  size_t ended = 0;
  for (const pollfd& channel : channels)
    ended += channel.revents != 0 ? 1 : 0;
  std::cout << channels.size() << " opened, " << ended << " answered or closed"
            << std::endl;
}
