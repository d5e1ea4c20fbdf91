// Stand-in for clients that don't behave: many connections that send what no
// sound client sends and stay open. Kinds of clients (--kind):
//
// - chunked: a body of --bytes in chunks of --piece_bytes that does not end;
//   with --is_ended it does.
// - sized: a body whose length is announced as --announced_bytes, of which
//   --bytes are sent.
// - ahead: --requests requests, one after the other, without waiting.
// - head: header lines of --piece_bytes, --bytes in all, that do not end.
// - frame: a frame of the system's own links whose length is announced as
//   --announced_bytes, of which --bytes are sent.
// - silent: nothing.
//
// Answers are read and counted unless --is_reading=false. A connection that is
// closed is opened again with --is_returning. Prints how many connections were
// opened, how many the server closed, the bytes sent, and the answers by
// status.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Address.h"

ABSL_FLAG(std::string, address, "127.0.1.1:8080", "IP:PORT of the server");
ABSL_FLAG(std::string, kind, "chunked", "what the clients send, see above");
ABSL_FLAG(int, connections, 60, "clients, each with one connection");
ABSL_FLAG(size_t, bytes, 4'193'280, "bytes of a body or head that are sent");
ABSL_FLAG(size_t, announced_bytes, 0, "length that a head announces");
ABSL_FLAG(size_t, piece_bytes, 65536, "bytes in a chunk or header line");
ABSL_FLAG(int, requests, 2000, "requests that are sent ahead");
ABSL_FLAG(int, seconds, 6, "time after which all connections are closed");
ABSL_FLAG(std::string, method, "POST", "method of requests");
ABSL_FLAG(std::string, path, "/issue/x", "path of requests");
ABSL_FLAG(std::string, headers, "", "headers of requests, separated by '|'");
ABSL_FLAG(bool, is_ended, false, "whether chunked bodies come to their end");
ABSL_FLAG(bool, is_reading, true, "whether answers are read");
ABSL_FLAG(int, bytes_per_second, 0, "rate at which answers are read; 0: any");
ABSL_FLAG(int, gap_milliseconds, 0, "pause between two clients' arrivals");
ABSL_FLAG(bool, is_returning, false, "whether closed connections are reopened");

namespace bramleyspan::standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kReturnPause(200);
constexpr int kSmallBuffer = 4096;

struct Client {
  int descriptor = -1;
  Clock::time_point opens_at;
  Clock::time_point opened;
  std::string outgoing;
  size_t outgoing_begin = 0;
  size_t body_bytes = 0;
  int requests = 0;
  bool is_done = false;
  std::string line;
  size_t bytes_read = 0;
};

struct Totals {
  size_t opened = 0;
  size_t closed = 0;
  size_t sent = 0;
  size_t read = 0;
  std::map<std::string, size_t> statuses;
};

std::string Head(std::string_view framing) {
  std::string head = absl::GetFlag(FLAGS_method) + " " +
                     absl::GetFlag(FLAGS_path) + " HTTP/1.1\r\n";
  std::string headers = absl::GetFlag(FLAGS_headers);
  if (!headers.empty()) {
    for (size_t bar = headers.find('|'); bar != std::string::npos;
         bar = headers.find('|')) {
      headers.replace(bar, 1, "\r\n");
    }
    head += headers + "\r\n";
  }
  return head.append(framing);
}

std::string Chunk(size_t bytes) {
  std::array<char, 20> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), bytes, 16)
          .ptr;
  return std::string(digits.data(), end) + "\r\n" + std::string(bytes, 'b') +
         "\r\n";
}

// Returns what a client sends next; empty if it has sent all.
std::string NextPiece(Client& client) {
  const std::string kind = absl::GetFlag(FLAGS_kind);
  const bool is_first = client.requests == 0;
  if (kind == "silent" || client.is_done) {
    return "";
  }
  if (kind == "ahead") {
    // Many at a time, so that few calls of the system are made.
    std::string pieces;
    for (int n = 0; n < 20 && client.requests < absl::GetFlag(FLAGS_requests);
         ++n, ++client.requests) {
      pieces += Head("\r\n");
    }
    return pieces;
  }
  client.requests = 1;
  const size_t left = absl::GetFlag(FLAGS_bytes) - client.body_bytes;
  const size_t piece = std::min(absl::GetFlag(FLAGS_piece_bytes), left);
  client.body_bytes += piece;
  std::string bytes;
  if (kind == "chunked") {
    bytes = is_first ? Head("transfer-encoding: chunked\r\n\r\n") : "";
    if (piece > 0) {
      return bytes + Chunk(piece);
    }
    client.is_done = true;
    return absl::GetFlag(FLAGS_is_ended) ? bytes + "0\r\n\r\n" : bytes;
  }
  if (kind == "frame") {
    const auto announced =
        static_cast<uint32_t>(absl::GetFlag(FLAGS_announced_bytes));
    for (unsigned byte = 0; is_first && byte < sizeof announced; ++byte) {
      bytes += static_cast<char>((announced >> (8 * byte)) & 0xFF);
    }
    return bytes + std::string(piece, 'f');
  }
  if (kind == "sized") {
    const auto announced = std::max(absl::GetFlag(FLAGS_announced_bytes),
                                    absl::GetFlag(FLAGS_bytes));
    bytes =
        is_first
            ? Head("content-length: " + std::to_string(announced) + "\r\n\r\n")
            : "";
    return bytes + std::string(piece, 'b');
  }
  bytes = is_first ? Head("") : "";
  return piece > 0 ? bytes + "x-" + std::to_string(client.body_bytes) + ": " +
                         std::string(piece, 'h') + "\r\n"
                   : bytes;
}

void HandleClosed(Client& client, Totals& totals) {
  close(client.descriptor);
  client.descriptor = -1;
  client.opens_at = absl::GetFlag(FLAGS_is_returning)
                        ? Clock::now() + kReturnPause
                        : Clock::time_point::max();
  ++totals.closed;
}

void Open(Client& client, Totals& totals, const sockaddr_in& server) {
  client = Client{.opened = Clock::now()};
  client.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (!absl::GetFlag(FLAGS_is_reading) ||
      absl::GetFlag(FLAGS_bytes_per_second) > 0) {
    setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer,
               sizeof kSmallBuffer);
  }
  ++totals.opened;
  const bool is_failed =
      connect(client.descriptor, reinterpret_cast<const sockaddr*>(&server),
              sizeof server) != 0 &&
      errno != EINPROGRESS;
  if (is_failed) {
    HandleClosed(client, totals);
  }
}

// Returns whether the connection is still open.
bool Write(Client& client, Totals& totals) {
  if (client.outgoing_begin == client.outgoing.size()) {
    client.outgoing = NextPiece(client);
    client.outgoing_begin = 0;
  }
  while (client.outgoing_begin < client.outgoing.size()) {
    const ssize_t sent =
        send(client.descriptor, client.outgoing.data() + client.outgoing_begin,
             client.outgoing.size() - client.outgoing_begin, MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN;
    }
    client.outgoing_begin += static_cast<size_t>(sent);
    totals.sent += static_cast<size_t>(sent);
  }
  return true;
}

void CountStatuses(Client& client, Totals& totals, std::string_view bytes) {
  constexpr std::string_view kStart = "HTTP/1.1 ";
  constexpr size_t kStatusDigits = 3;
  client.line.append(bytes);
  for (size_t at = client.line.find(kStart);
       at != std::string::npos &&
       client.line.size() >= at + kStart.size() + kStatusDigits;
       at = client.line.find(kStart)) {
    ++totals.statuses[client.line.substr(at + kStart.size(), kStatusDigits)];
    client.line.erase(0, at + kStart.size());
  }
  const size_t kept = kStart.size() + kStatusDigits;
  if (client.line.size() > kept) {
    client.line.erase(0, client.line.size() - kept);
  }
}

bool may_read(const Client& client) {
  const int rate = absl::GetFlag(FLAGS_bytes_per_second);
  const std::chrono::duration<double> open_for = Clock::now() - client.opened;
  return absl::GetFlag(FLAGS_is_reading) &&
         (rate == 0 ||
          static_cast<double>(client.bytes_read) < open_for.count() * rate);
}

// Returns whether the connection is still open.
bool Read(Client& client, Totals& totals) {
  std::array<char, 16384> bytes{};
  const ssize_t count = recv(client.descriptor, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return count < 0 && errno == EAGAIN;
  }
  totals.read += static_cast<size_t>(count);
  client.bytes_read += static_cast<size_t>(count);
  CountStatuses(client, totals, {bytes.data(), static_cast<size_t>(count)});
  return true;
}

bool has_more(const Client& client) {
  const std::string kind = absl::GetFlag(FLAGS_kind);
  if (client.outgoing_begin < client.outgoing.size()) {
    return true;
  }
  if (kind == "silent" || client.is_done) {
    return false;
  }
  if (kind == "ahead") {
    return client.requests < absl::GetFlag(FLAGS_requests);
  }
  return kind == "chunked" || client.requests == 0 ||
         client.body_bytes < absl::GetFlag(FLAGS_bytes);
}

void RunOnce(std::vector<Client>& clients,
             Totals& totals,
             const sockaddr_in& server) {
  constexpr int kWaitMilliseconds = 20;
  std::vector<pollfd> entries;
  for (Client& client : clients) {
    if (client.descriptor < 0 && Clock::now() >= client.opens_at) {
      Open(client, totals, server);
    }
    const int events =
        (has_more(client) ? POLLOUT : 0) | (may_read(client) ? POLLIN : 0);
    entries.push_back({.fd = client.descriptor,
                       .events = static_cast<short>(events),
                       .revents = 0});
  }
  poll(entries.data(), entries.size(), kWaitMilliseconds);
  for (size_t i = 0; i < clients.size(); ++i) {
    const int ready = entries[i].revents;
    bool is_open = true;
    if ((ready & POLLIN) != 0) {
      is_open = Read(clients[i], totals);
    }
    if (is_open && (ready & POLLOUT) != 0) {
      is_open = Write(clients[i], totals);
    }
    if (!is_open || (ready & (POLLHUP | POLLERR)) != 0) {
      HandleClosed(clients[i], totals);
    }
  }
}

int Run() {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
  const auto parsed = ParseAddress(absl::GetFlag(FLAGS_address));
  if (parsed.has_error()) {
    std::cerr << Describe(parsed.error()) << "\n";
    return 2;
  }
  const sockaddr_in server = ToSocketAddress(parsed.value());
  Totals totals;
  std::vector<Client> clients(
      static_cast<size_t>(absl::GetFlag(FLAGS_connections)));
  const auto start = Clock::now();
  const auto end = start + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  for (size_t i = 0; i < clients.size(); ++i) {
    clients[i].opens_at =
        start +
        i * std::chrono::milliseconds(absl::GetFlag(FLAGS_gap_milliseconds));
  }
  while (Clock::now() < end) {
    RunOnce(clients, totals, server);
  }
  std::cout << totals.opened << " opened, " << totals.closed << " closed, "
            << totals.sent << " bytes sent, " << totals.read << " read;";
  for (const auto& [status, count] : totals.statuses) {
    std::cout << " " << status << ": " << count;
  }
  std::cout << "\n";
  return 0;
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int count, char** arguments) {
  absl::ParseCommandLine(count, arguments);
  return bramleyspan::standins::Run();
}
