// Stand-in for the users' platform: its store, one group of model servers and
// the servers of a plain service, as their pages describe them. One thread
// serves each connection; one lock guards all state.
//
//   Platform --net=127.N --ranks=R --plain=P --pass_ms=T --log=FILE
//
// Addresses: store net.0.20:7000, control net.0.20:7001 (one line a
// connection), ranks net.2.K:8000, plain servers net.3.K:8000, K from 1.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

std::mutex lock_of_all;
std::condition_variable changed;
using Lock = std::unique_lock<std::mutex>;
const Clock::time_point kStart = Clock::now();
std::ofstream record;
std::string net = "127.0";
std::mt19937_64 randomness{1};

int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart)
      .count();
}
// Requires the lock.
void Record(const std::string& line) {
  const auto wall = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  record << wall.count() << " " << line << std::endl;
}

// ---------------------------------------------------------------- HTTP

struct Request {
  std::string method, target, path, query, body;
  std::map<std::string, std::string> headers;
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

struct Connection {
  int fd;
  std::string input;
  bool Fill() {
    char buffer[65536];
    const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0)
      return false;
    input.append(buffer, static_cast<size_t>(n));
    return true;
  }
  // Whether the peer has closed; pending bytes do not count.
  bool is_closed() const {
    char byte;
    const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  bool Read(Request& request) {
    size_t end;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill())
        return false;
    }
    std::istringstream head(input.substr(0, end));
    std::string line, version;
    std::getline(head, line);
    std::istringstream first(line);
    first >> request.method >> request.target >> version;
    const size_t mark = request.target.find('?');
    request.path = request.target.substr(0, mark);
    request.query =
        mark == std::string::npos ? "" : request.target.substr(mark + 1);
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::string name = line.substr(0, colon);
      for (char& c : name)
        c = static_cast<char>(tolower(c));
      size_t at = colon + 1;
      while (at < line.size() && line[at] == ' ')
        ++at;
      request.headers[name] = line.substr(at);
    }
    input.erase(0, end + 4);
    const size_t length =
        std::strtoul(request.header("content-length").c_str(), nullptr, 10);
    while (input.size() < length) {
      if (!Fill())
        return false;
    }
    request.body = input.substr(0, length);
    input.erase(0, length);
    return true;
  }
  bool Answer(int status,
              const std::string& body,
              const std::string& headers = "") {
    return SendAll(fd, "HTTP/1.1 " + std::to_string(status) + " S\r\n" +
                           headers + "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  bool AnswerJson(int status, const json& body) {
    return Answer(status, body.dump(), "Content-Type: application/json\r\n");
  }
};

std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(
          std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

std::string QueryValue(const std::string& query, const std::string& name) {
  std::istringstream parts(query);
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.rfind(name + "=", 0) == 0) {
      return Unescape(part.substr(name.size() + 1));
    }
  }
  return "";
}

// Handles one request; returns whether the connection is kept.
using Handler = std::function<bool(Connection&, const Request&)>;

int OpenListener(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 256) != 0) {
    std::cerr << "cannot listen at " << ip << ":" << port << "\n";
    std::exit(2);
  }
  return fd;
}

void Serve(const std::string& ip, int port, const Handler& handler) {
  const int listener = OpenListener(ip, port);
  std::thread([listener, handler] {
    while (true) {
      const int fd = accept(listener, nullptr, nullptr);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, handler] {
        Connection connection{fd, ""};
        while (true) {
          Request request;
          if (!connection.Read(request))
            break;
          if (!handler(connection, request))
            break;
          if (request.header("connection") == "close")
            break;
        }
        close(fd);
      }).detach();
    }
  }).detach();
}

// ---------------------------------------------------------------- store

const char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t v = 0;
    for (size_t j = 0; j < 3; ++j) {
      v = v << 8 |
          (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[v >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}
std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t v = 0;
  int bits = 0;
  for (const char c : text) {
    const char* at = std::strchr(kDigits, c);
    if (c == '=' || at == nullptr)
      continue;
    v = v << 6 | static_cast<uint32_t>(at - kDigits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(v >> bits & 255);
    }
  }
  return bytes;
}

struct Item {
  std::string value;
  uint64_t revision = 0, created = 0, lease = 0;
};
struct Change {
  std::string key;
  uint64_t revision;
  bool removed;
  Item item;
};
struct Lease {
  int64_t ttl, ends;
};
std::map<std::string, Item> items;
std::deque<Change> history;
std::map<uint64_t, Lease> leases;
uint64_t revision = 100, last_lease = 0;
std::string store_mode = "up";

json ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}
void PutItem(const std::string& key,
             const std::string& value,
             uint64_t lease,
             uint64_t at) {
  Item& item = items[key];
  if (item.created == 0)
    item.created = at;
  item.value = value;
  item.revision = at;
  item.lease = lease;
  history.push_back({key, at, false, item});
}
void RemoveItem(const std::string& key, uint64_t at) {
  if (items.erase(key) != 0)
    history.push_back({key, at, true, {}});
}
void WriteAsOperator(const std::string& key, const std::string& value) {
  PutItem(key, value, 0, ++revision);
  changed.notify_all();
}
void ExpireLeases() {
  for (auto at = leases.begin(); at != leases.end();) {
    if (at->second.ends > NowMs()) {
      ++at;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) {
      if (item.lease == at->first)
        keys.push_back(key);
    }
    ++revision;
    for (const auto& key : keys)
      RemoveItem(key, revision);
    at = leases.erase(at);
    changed.notify_all();
  }
}

bool HandleStore(Connection& connection, const Request& request) {
  Lock lock(lock_of_all);
  while (store_mode == "silent")
    changed.wait_for(lock, milliseconds(50));
  if (store_mode == "down") {
    lock.unlock();
    return connection.AnswerJson(503, json::object());
  }
  const std::string prefix = QueryValue(request.query, "path_prefix");
  if (request.path == "/kv-range") {
    const std::string after = QueryValue(request.query, "after");
    json list = json::array();
    bool has_more = false;
    for (const auto& [key, item] : items) {
      if (key.rfind(prefix, 0) != 0 || key <= after)
        continue;
      if (list.size() >= 50) {
        has_more = true;
        break;
      }
      list.push_back(ToJson(key, item));
    }
    const json body = {
        {"items", list}, {"has_more", has_more}, {"current_rev", revision}};
    lock.unlock();
    return connection.AnswerJson(200, body);
  }
  if (request.path == "/kv-key") {
    const auto found = items.find(QueryValue(request.query, "key"));
    const bool is_found = found != items.end();
    json body = is_found ? ToJson(found->first, found->second) : json::object();
    body["current_rev"] = revision;
    lock.unlock();
    return connection.AnswerJson(is_found ? 200 : 404, body);
  }
  if (request.path == "/kv-watch") {
    const uint64_t after = std::stoull(QueryValue(request.query, "after"));
    const int64_t until =
        NowMs() + std::stoll(QueryValue(request.query, "wait_ms"));
    json events = json::array();
    while (true) {
      for (const Change& change : history) {
        if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
          continue;
        }
        events.push_back(change.removed ? json{{"key", change.key},
                                               {"revision", change.revision},
                                               {"removed", true}}
                                        : ToJson(change.key, change.item));
      }
      if (!events.empty() || NowMs() >= until || connection.is_closed())
        break;
      changed.wait_for(lock, milliseconds(50));
    }
    const json body = {{"events", events}, {"current_rev", revision}};
    lock.unlock();
    return connection.AnswerJson(200, body);
  }
  if (request.path == "/kv-txn") {
    const json call = json::parse(request.body);
    json conflicts = json::array();
    for (const json& row : call.value("expected_rev", json::array())) {
      const auto found = items.find(row.at("key").get<std::string>());
      const uint64_t now = found == items.end() ? 0 : found->second.revision;
      if (now != row.at("revision").get<uint64_t>()) {
        conflicts.push_back({{"key", row.at("key")}, {"revision", now}});
      }
    }
    if (!conflicts.empty()) {
      lock.unlock();
      return connection.AnswerJson(412, {{"items", conflicts}});
    }
    for (const json& put : call.value("puts", json::array())) {
      const uint64_t lease = put.value("lease", uint64_t{0});
      if (lease != 0 && !leases.contains(lease)) {
        lock.unlock();
        return connection.AnswerJson(404, json::object());
      }
    }
    const uint64_t at = ++revision;
    for (const json& put : call.value("puts", json::array())) {
      PutItem(put.at("key").get<std::string>(),
              FromBase64(put.at("value").get<std::string>()),
              put.value("lease", uint64_t{0}), at);
    }
    for (const json& key : call.value("deletes", json::array())) {
      RemoveItem(key.get<std::string>(), at);
    }
    changed.notify_all();
    lock.unlock();
    return connection.AnswerJson(200, {{"revision", at}});
  }
  if (request.path == "/kv-lease") {
    const int64_t ttl = json::parse(request.body).value("ttl_ms", 1000);
    leases[++last_lease] = {ttl, NowMs() + ttl};
    const json body = {{"lease", last_lease}, {"ttl_ms", ttl}};
    lock.unlock();
    return connection.AnswerJson(200, body);
  }
  if (request.path.rfind("/kv-keep/", 0) == 0) {
    const auto found = leases.find(std::stoull(request.path.substr(9)));
    const bool is_found = found != leases.end();
    if (is_found)
      found->second.ends = NowMs() + found->second.ttl;
    lock.unlock();
    return connection.AnswerJson(is_found ? 200 : 404, json::object());
  }
  lock.unlock();
  return connection.AnswerJson(404, json::object());
}

// ---------------------------------------------------------------- ranks

// As the sheet of hanbit-cheese has them.
constexpr int kSets = 3, kExperts = 96, kPlaces = 11, kSpare = 4;
// A copy of 1,700 MB at 92,000 Mbit/s.
constexpr int64_t kCopyMs = 148;
using Lists = std::vector<std::vector<std::vector<int>>>;  // set, rank

struct Stream {
  std::string attempt;
  int next = 1, last = 20;
  bool running = false, ended = false, cut = false;
  std::string pending;
};
struct Rank {
  std::string id;
  uint64_t seq = 0, map = 0, prepared = 0, preparing = 0, newest = 0;
  Lists lists, next_lists;
  int64_t copied_at = 0;
  uint64_t armed = 0, armed_step = 0, held = 0;
  std::vector<std::vector<uint64_t>> counts;
  std::vector<std::shared_ptr<Stream>> streams;
};
std::vector<Rank> ranks;
uint64_t step = 0, epoch = 1;
int splits = 0, switches = 0;
int64_t pass_ms = 60, shift_ms = 3500;
int slots = 12;
double late_share = 0;  // of the orders that get no answer
// Trouble: the agent of this rank freezes as the next hold is ordered.
int freeze_rank = 0, freeze_ms = 0;
// Trouble: the named processes are killed right after the ack of the next order
// of this kind, at this rank or at any (-1), while the group is held or at any
// time.
std::string kill_after;
int kill_rank = -1;
bool is_kill_in_hold = false;
std::vector<pid_t> processes;
pid_t agent_pids[64] = {};

void Settle(Rank& rank) {
  if (rank.preparing != 0 && NowMs() >= rank.copied_at) {
    rank.prepared = rank.preparing;
    rank.preparing = 0;
  }
}

int Execute(int number, const json& order) {
  Rank& rank = ranks[static_cast<size_t>(number)];
  Settle(rank);
  if (order.contains("epoch") && order["epoch"].get<uint64_t>() != epoch) {
    return 409;
  }
  if (order.contains("expected_rev") &&
      order["expected_rev"].get<uint64_t>() != rank.seq) {
    return 409;
  }
  const std::string op = order.at("op").get<std::string>();
  if (op == "prepare") {
    const uint64_t version = order.at("version").get<uint64_t>();
    if (version == rank.prepared || version == rank.preparing)
      return 200;
    if (version <= rank.newest || rank.armed != 0 || rank.preparing != 0) {
      return 409;
    }
    const Lists map = order.at("map").get<Lists>();
    if (map.size() != kSets)
      return 400;
    int64_t copies = 0;
    for (size_t set = 0; set < map.size(); ++set) {
      std::set<int> all;
      if (map[set].size() != ranks.size())
        return 400;
      for (const auto& list : map[set]) {
        if (list.size() > kPlaces)
          return 400;
        all.insert(list.begin(), list.end());
      }
      if (all.size() != kExperts)
        return 400;
      const auto& own = rank.lists[set][static_cast<size_t>(number)];
      const std::set<int> old(own.begin(), own.end());
      int fresh = 0;
      for (const int expert : map[set][static_cast<size_t>(number)]) {
        fresh += old.contains(expert) ? 0 : 1;
      }
      if (fresh > kSpare)
        return 409;
      copies += fresh;
    }
    rank.newest = rank.preparing = version;
    rank.prepared = 0;
    rank.next_lists = map;
    rank.copied_at = NowMs() + copies * kCopyMs;
    Settle(rank);
    ++rank.seq;
    return 202;
  }
  const uint64_t at = order.value("step", uint64_t{0});
  if (op == "arm") {
    const uint64_t version = order.at("version").get<uint64_t>();
    if (rank.armed == version && rank.armed_step == at)
      return 200;
    if (version != rank.prepared || rank.armed != 0 || at <= step)
      return 409;
    rank.armed = version;
    rank.armed_step = at;
    ++rank.seq;
    return 202;
  }
  if (op == "hold") {
    if (rank.held == at && at > step)
      return 200;
    if (rank.held != 0 || at <= step)
      return 409;
    rank.held = at;
    ++rank.seq;
    Record("hold rank=" + std::to_string(number) +
           " step=" + std::to_string(at));
    return 202;
  }
  if (op == "go") {
    if (rank.held != at)
      return at <= step ? 200 : 409;
    rank.held = 0;
    ++rank.seq;
    Record("go rank=" + std::to_string(number) + " step=" + std::to_string(at));
    return 202;
  }
  return 400;
}

json Report(int number) {
  Rank& rank = ranks[static_cast<size_t>(number)];
  Settle(rank);
  int running = 0, queued = 0;
  for (const auto& stream : rank.streams) {
    (stream->running ? running : queued) += 1;
  }
  return {
      {"stage", "both"},
      {"models", json::array()},
      {"busy", rank.preparing != 0},
      {"seq", rank.seq},
      {"queued", queued},
      {"running", running},
      {"kv_used", 0},
      {"kv_total", 280000},
      {"pace", 1.0},
      {"born", 1700000000000},
      {"group",
       {{"name", "g"}, {"epoch", epoch}, {"rank", number}, {"state", "open"}}},
      {"size", ranks.size()},
      {"step", step},
      {"map", rank.map},
      {"prepared", rank.prepared},
      {"armed", {{"version", rank.armed}, {"step", rank.armed_step}}},
      {"held", rank.held}};
}

// The agent of a rank stands still for a while. Requires the lock.
void FreezeAgent(int number, int for_ms) {
  const pid_t pid = agent_pids[number];
  if (pid > 0)
    kill(pid, SIGSTOP);
  Record("freeze rank=" + std::to_string(number));
  std::thread([number, pid, for_ms] {
    std::this_thread::sleep_for(milliseconds(for_ms));
    Lock inner(lock_of_all);
    if (pid > 0 && agent_pids[number] == pid)
      kill(pid, SIGCONT);
    Record("thaw rank=" + std::to_string(number));
    changed.notify_all();
  }).detach();
}

bool RunStream(Connection& connection,
               const Request& request,
               int number,
               Lock& lock) {
  Rank& rank = ranks[static_cast<size_t>(number)];
  const std::string attempt = request.header("x-attempt-id");
  const int64_t deadline =
      NowMs() +
      std::max<int64_t>(1, std::strtoll(request.header("x-deadline-ms").c_str(),
                                        nullptr, 10));
  auto stream = std::make_shared<Stream>();
  stream->attempt = attempt;
  const std::string resumed = request.header("last-event-id");
  if (!resumed.empty())
    stream->next = std::stoi(resumed) + 1;
  rank.streams.push_back(stream);
  bool has_head = false;
  const auto leave = [&] {
    std::erase(rank.streams, stream);
    lock.unlock();
    return false;
  };
  while (true) {
    changed.wait_for(lock, milliseconds(20));
    if (connection.is_closed())
      return leave();
    if (NowMs() >= deadline) {
      const bool has_run = stream->running;
      std::erase(rank.streams, stream);
      lock.unlock();
      if (!has_run) {
        connection.Answer(
            503, "", "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n");
      }
      return false;
    }
    if (stream->pending.empty())
      continue;
    std::string out;
    if (!has_head) {
      has_head = true;
      out =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\nX-Attempt-Id: ";
      out.append(attempt).append("\r\nX-Server-Stamp: stamp-");
      out.append(attempt).append("\r\n\r\n");
    }
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", stream->pending.size());
    out.append(size).append(std::exchange(stream->pending, "")).append("\r\n");
    if (stream->ended)
      out += "0\r\n\r\n";
    const bool is_ended = stream->ended;
    lock.unlock();
    if (!SendAll(connection.fd, out)) {
      lock.lock();
      return leave();
    }
    lock.lock();
    if (is_ended) {
      std::erase(rank.streams, stream);
      lock.unlock();
      return true;
    }
  }
}

bool HandleRank(Connection& connection, const Request& request, int number) {
  Lock lock(lock_of_all);
  Rank& rank = ranks[static_cast<size_t>(number)];
  if (request.path == "/report") {
    const json body = Report(number);
    lock.unlock();
    return connection.AnswerJson(200, body);
  }
  if (request.path == "/picked") {
    json body;
    if (QueryValue(request.query, "lists").empty()) {
      body = {{"step", step}, {"epoch", epoch}, {"counts", rank.counts}};
    } else {
      json experts = json::array();
      for (const auto& set : rank.lists) {
        experts.push_back(set[static_cast<size_t>(number)]);
      }
      body = {{"map", {{"version", rank.map}, {"experts", experts}}}};
    }
    lock.unlock();
    return connection.AnswerJson(200, body);
  }
  if (request.path == "/order") {
    const json order = json::parse(request.body);
    if (std::uniform_real_distribution<double>(0, 1)(randomness) < late_share) {
      const int after =
          std::uniform_int_distribution<int>(2000, 12000)(randomness);
      std::thread([order, number, after] {
        std::this_thread::sleep_for(milliseconds(after));
        Lock inner(lock_of_all);
        const int status = Execute(number, order);
        Record("late order=" + order.at("op").get<std::string>() + " rank=" +
               std::to_string(number) + " status=" + std::to_string(status));
        changed.notify_all();
      }).detach();
      while (!connection.is_closed())
        changed.wait_for(lock, milliseconds(20));
      return false;
    }
    const bool is_hold = order.value("op", "") == "hold";
    if (is_hold && freeze_ms > 0) {
      FreezeAgent(freeze_rank, std::exchange(freeze_ms, 0));
    }
    const bool is_held = std::any_of(ranks.begin(), ranks.end(),
                                     [](const Rank& r) { return r.held != 0; });
    const int status = Execute(number, order);
    const bool is_kill = order.value("op", "") == kill_after &&
                         (kill_rank == -1 || kill_rank == number) &&
                         (is_held || !is_kill_in_hold) && status == 202;
    changed.notify_all();
    if (!is_kill)
      lock.unlock();
    const bool is_sent = connection.AnswerJson(status, json::object());
    if (is_kill) {
      kill_after.clear();
      for (const pid_t pid : processes)
        kill(pid, SIGKILL);
      Record("SIGKILL to " + std::to_string(processes.size()) +
             " processes, right after the ack of " + order.value("op", "") +
             " at rank " + std::to_string(number));
    }
    return is_sent;
  }
  const std::string attempt = request.header("x-attempt-id");
  if (request.header("x-expect-instance") != rank.id) {
    lock.unlock();
    return connection.Answer(
        421, "",
        "X-Attempt-Id: " + attempt +
            "\r\nX-Not-Executed: 1\r\nAt-Server: " + rank.id + "\r\n");
  }
  if (rank.streams.size() >= static_cast<size_t>(slots) * 2) {
    lock.unlock();
    return connection.Answer(
        503, "", "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n");
  }
  return RunStream(connection, request, number, lock);
}

void Pass() {
  bool has_work = false;
  for (Rank& rank : ranks) {
    Settle(rank);
    has_work = has_work || !rank.streams.empty();
    if (rank.held == step + 1)
      return;
  }
  if (!has_work)
    return;
  ++step;
  for (Rank& rank : ranks) {
    if (rank.armed != 0 && rank.armed_step == step) {
      rank.map = rank.armed;
      rank.lists = rank.next_lists;
      rank.armed = rank.armed_step = rank.prepared = 0;
      if (&rank == &ranks.front())
        ++switches;
    }
  }
  for (const Rank& rank : ranks) {
    if (rank.map != ranks.front().map || rank.lists != ranks.front().lists) {
      ++splits;
      Record("SPLIT step=" + std::to_string(step));
      break;
    }
  }
  // Which experts are liked, by the present topic.
  const int64_t topic = NowMs() / shift_ms;
  for (Rank& rank : ranks) {
    int running = 0;
    for (const auto& stream : rank.streams) {
      if (!stream->running && running < slots) {
        stream->running = true;
        Record("run attempt=" + stream->attempt + " server=" + rank.id);
      }
      if (!stream->running || stream->ended)
        continue;
      ++running;
      stream->pending += "id: " + std::to_string(stream->next) +
                         "\ndata: " + stream->attempt + "#" +
                         std::to_string(stream->next) + "\n\n";
      stream->ended = stream->next++ >= stream->last;
    }
    for (auto& set : rank.counts) {
      for (int e = 0; e < kExperts; ++e) {
        set[static_cast<size_t>(e)] += static_cast<uint64_t>(running) *
                                       ((e + topic * 5) % 12 < 2 ? 120 : 20);
      }
    }
  }
  changed.notify_all();
}

// ---------------------------------------------------------------- plain

int work_ms = 50;
std::map<std::string, int> runs;

bool HandlePlain(Connection& connection,
                 const Request& request,
                 const std::string& id) {
  const std::string attempt = request.header("x-attempt-id");
  const std::string echo = "X-Attempt-Id: " + attempt + "\r\n";
  if (request.header("x-expect-instance") != id) {
    return connection.Answer(421, "", echo + "X-Not-Executed: 1\r\n");
  }
  {
    Lock lock(lock_of_all);
    ++runs[attempt];
    Record("run attempt=" + attempt + " server=" + id +
           " path=" + request.target + " tenant=" + request.header("x-tenant"));
  }
  const int64_t until = NowMs() + work_ms;
  while (NowMs() < until) {
    if (connection.is_closed())
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return connection.Answer(200, "done " + attempt,
                           echo + "X-Server-Stamp: stamp-" + attempt + "\r\n");
}

// ---------------------------------------------------------------- control

std::string ServerEntry(const std::string& service,
                        const std::string& address,
                        int server_slots) {
  return json{{"service", service},    {"address", address},
              {"zone", "a"},           {"version", 1},
              {"slots", server_slots}, {"state", "ready"},
              {"cold_left_ms", 0},     {"seq", 1}}
      .dump();
}

// Commands: put KEY VALUE; remove KEY; store MODE; freeze-at-hold RANK MS;
// kill-after-ack KIND RANK IN-HOLD; processes PID...; late SHARE; agent RANK
// PID; status.
std::string Control(const std::string& line) {
  Lock lock(lock_of_all);
  std::istringstream words(line);
  std::string command;
  words >> command;
  if (command == "put" || command == "remove") {
    std::string key, value;
    words >> key;
    std::getline(words, value);
    if (command == "put") {
      WriteAsOperator(key, value.substr(std::min<size_t>(1, value.size())));
    } else {
      RemoveItem(key, ++revision);
      changed.notify_all();
    }
  } else if (command == "store") {
    words >> store_mode;
  } else if (command == "freeze-at-hold") {
    words >> freeze_rank >> freeze_ms;
  } else if (command == "kill-after-ack") {
    words >> kill_after >> kill_rank >> is_kill_in_hold;
  } else if (command == "processes") {
    processes.clear();
    for (pid_t pid = 0; words >> pid;)
      processes.push_back(pid);
  } else if (command == "late") {
    words >> late_share;
  } else if (command == "agent") {
    int number = 0, pid = 0;
    words >> number >> pid;
    agent_pids[number] = pid;
  }
  Record("control " + line.substr(0, 60));
  json body = {{"step", step},
               {"splits", splits},
               {"switches", switches},
               {"held", 0},
               {"armed", 0},
               {"streams", 0},
               {"killed", !processes.empty() && kill_after.empty() ? 1 : 0}};
  json prepared = json::array();
  for (Rank& rank : ranks) {
    Settle(rank);
    body["held"] = body["held"].get<int>() + (rank.held != 0 ? 1 : 0);
    body["armed"] = body["armed"].get<int>() + (rank.armed != 0 ? 1 : 0);
    body["streams"] =
        body["streams"].get<int>() + static_cast<int>(rank.streams.size());
    prepared.push_back(rank.prepared);
  }
  body["prepared"] = prepared;
  return body.dump();
}

}  // namespace

int main(int count, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  int rank_count = 12, plain_count = 3;
  std::string log = "platform.log";
  for (int i = 1; i < count; ++i) {
    const std::string word = arguments[i];
    const size_t equals = word.find('=');
    const std::string name = word.substr(0, equals);
    const std::string value = word.substr(equals + 1);
    if (name == "--net")
      net = value;
    if (name == "--ranks")
      rank_count = std::stoi(value);
    if (name == "--plain")
      plain_count = std::stoi(value);
    if (name == "--pass_ms")
      pass_ms = std::stoll(value);
    if (name == "--shift_ms")
      shift_ms = std::stoll(value);
    if (name == "--seed")
      randomness.seed(std::stoull(value));
    if (name == "--log")
      log = value;
  }
  record.open(log);
  Lists first(kSets,
              std::vector<std::vector<int>>(static_cast<size_t>(rank_count)));
  for (auto& set : first) {
    if (rank_count == 0)
      break;
    for (int e = 0; e < kExperts; ++e) {
      set[static_cast<size_t>(e % rank_count)].push_back(e);
    }
  }
  for (int i = 0; i < rank_count; ++i) {
    Rank rank;
    rank.id = "i-rank" + std::to_string(i);
    rank.lists = first;
    rank.counts.assign(kSets, std::vector<uint64_t>(kExperts, 0));
    ranks.push_back(rank);
    PutItem("servers/" + rank.id,
            ServerEntry("chat", net + ".2." + std::to_string(i + 1) + ":8000",
                        slots),
            0, ++revision);
  }
  for (int i = 0; i < rank_count; ++i) {
    Serve(net + ".2." + std::to_string(i + 1), 8000,
          [i](Connection& connection, const Request& request) {
            return HandleRank(connection, request, i);
          });
  }
  for (int i = 1; i <= plain_count; ++i) {
    const std::string id = "i-plain" + std::to_string(i);
    const std::string ip = net + ".3." + std::to_string(i);
    PutItem("servers/" + id, ServerEntry("billing", ip + ":8000", 6), 0,
            ++revision);
    Serve(ip, 8000, [id](Connection& connection, const Request& request) {
      return HandlePlain(connection, request, id);
    });
  }
  Serve(net + ".0.20", 7000, HandleStore);
  const int control = OpenListener(net + ".0.20", 7001);
  std::thread([control] {
    while (true) {
      const int fd = accept(control, nullptr, nullptr);
      if (fd < 0)
        continue;
      std::string line;
      char byte;
      while (recv(fd, &byte, 1, 0) == 1 && byte != '\n')
        line += byte;
      SendAll(fd, Control(line) + "\n");
      close(fd);
    }
  }).detach();
  while (true) {
    std::this_thread::sleep_for(milliseconds(pass_ms));
    Lock lock(lock_of_all);
    ExpireLeases();
    Pass();
  }
}
