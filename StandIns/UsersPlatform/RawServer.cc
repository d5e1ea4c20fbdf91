#include "StandIns/UsersPlatform/RawServer.h"

#include <sys/socket.h>

#include <optional>
#include <utility>

#include "LibHTTP/Parser.h"
#include "StandIns/CutAnswers.h"
#include "StandIns/EarlyAnswers.h"

namespace bramleyspan::standins {

namespace {

constexpr std::string_view kReset = "/reset";
constexpr std::string_view kInside = "/inside";
constexpr std::string_view kEnds = "/ends";
constexpr std::string_view kRestarts = "/restarts";
constexpr std::string_view kReborn = "/reborn";
// Time after which a server that is reborn ends.
constexpr Duration kLifeTime = std::chrono::milliseconds(50);
constexpr std::string_view kStatus = "/status-";
constexpr std::string_view kCut = "/cut-";
constexpr std::string_view kEarly = "/early-";
// Time for which a server that restarts is away.
constexpr Duration kDownTime = std::chrono::milliseconds(300);
constexpr std::string_view kEndless = "/endless-";
constexpr size_t kBlockBytes = 16384;
// What the system takes of a request that is not read, so that long uploads are
// still being sent when their early answer has ended.
constexpr int kReceiveBytes = 32768;
constexpr Duration kBlockInterval = std::chrono::microseconds(500);

std::string FindValue(const std::string& request, const std::string& name) {
  const size_t begin = request.find("\r\n" + name + ": ");
  if (begin == std::string::npos) {
    return "";
  }
  const size_t value = begin + name.size() + 4;
  return request.substr(value, request.find("\r\n", value) - value);
}

// Returns the path of the request's first line.
std::string PathOf(const std::string& request) {
  const size_t begin = request.find(' ') + 1;
  return request.substr(begin, request.find(' ', begin) - begin);
}

// What an answer without end begins with, and what is sent again and again.
struct EndlessAnswer {
  std::string begin;
  std::string block;
};

EndlessAnswer EndlessAnswerTo(const std::string& kind,
                              const std::string& attempt) {
  const std::string letters(kBlockBytes, 'a');
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string own = status + "x-attempt-id: " + attempt +
                          "\r\nx-server-stamp: stamp-" + attempt + "\r\n";
  if (kind == "head") {
    std::string lines;
    while (lines.size() < kBlockBytes) {
      lines += "x-line: " + std::string(100, 'a') + "\r\n";
    }
    return {.begin = status, .block = lines};
  }
  if (kind == "line") {
    return {.begin = status + "x-line: ", .block = letters};
  }
  if (kind == "chunks") {
    return {.begin = own + "transfer-encoding: chunked\r\n\r\n",
            .block = "4000\r\n" + letters + "\r\n"};
  }
  if (kind == "interim") {
    return {
        .begin = "",
        .block = "HTTP/1.1 103 Early Hints\r\nx-line: " + letters + "\r\n\r\n"};
  }
  const std::string chunked = own + "transfer-encoding: chunked\r\n\r\n";
  if (kind == "extension") {
    return {.begin = chunked + "4;", .block = letters};
  }
  if (kind == "trailer") {
    return {.begin = chunked + "1\r\nx\r\n0\r\nx-line: ", .block = letters};
  }
  if (kind == "event") {
    return {.begin = own + "\r\nid: 1\ndata: x\n\ndata: ", .block = letters};
  }
  return {.begin = (kind == "bare" ? status : own) + "\r\n", .block = letters};
}

// Returns the events of a whole answer.
std::vector<std::string> EventsFor(const std::string& attempt) {
  std::vector<std::string> events;
  for (int id = 1; id <= 3; ++id) {
    const std::string number = std::to_string(id);
    std::string& event = events.emplace_back("id: ");
    event.append(number).append("\ndata: ").append(attempt);
    event.append("#").append(number).append("\n\n");
  }
  return events;
}

std::string AnswerTo(const std::string& request) {
  const std::string attempt = FindValue(request, "x-attempt-id");
  const std::string path = PathOf(request);
  const std::string header_lines =
      "content-type: text/event-stream\r\nx-attempt-id: " + attempt +
      "\r\nx-server-stamp: stamp-" + attempt + "\r\n";
  const size_t status = path.rfind(kStatus);
  if (status != std::string::npos) {
    const std::string inner =
        "HTTP/1.1 200 OK\r\n" + header_lines + "content-length: 2\r\n\r\nok";
    return "HTTP/1.1 " + path.substr(status + kStatus.size()) + " Any\r\n" +
           header_lines + "content-length: " + std::to_string(inner.size()) +
           "\r\n\r\n" + inner;
  }
  std::vector<std::string> events = EventsFor(attempt);
  const size_t cut = path.rfind(kCut);
  if (cut != std::string::npos) {
    const auto answer =
        CutAnswer(path.substr(cut + kCut.size()), header_lines, events);
    return answer.value_or("");
  }
  if (path.ends_with(kInside)) {
    events.emplace_back("id: 4\nda");
  } else if (path.ends_with(kRestarts) || path.ends_with(kReborn) ||
             path.rfind(kEarly) != std::string::npos) {
    events.pop_back();
  }
  std::string answer = "HTTP/1.1 200 OK\r\n" + header_lines + "\r\n";
  for (const std::string& event : events) {
    answer += event;
  }
  return answer;
}

}  // namespace

Result<std::unique_ptr<RawServer>> RawServer::Listen(EventLoop& loop,
                                                     const Address& address) {
  std::unique_ptr<RawServer> server(new RawServer(loop, address));
  TRY(server->StartListening());
  return server;
}

Result<void> RawServer::StartListening() {
  this->listener = TRY(Listener::Listen(
      this->loop, this->address,
      [this](h2o_socket_t* socket) {
        socket->data = this;
        this->idle.insert(socket);
        h2o_socket_read_start(socket,
                              [](h2o_socket_t* source, const char* failure) {
                                static_cast<RawServer*>(source->data)
                                    ->HandleReadable(source, failure);
                              });
      },
      kReceiveBytes));
  return Succeed();
}

void RawServer::HandleReadable(h2o_socket_t* socket, const char* failure) {
  if (failure != nullptr) {
    this->idle.erase(socket);
    h2o_socket_close(socket);
    return;
  }
  const std::string request(socket->input->bytes, socket->input->size);
  if (this->is_answered_early(socket, request)) {
    return;
  }
  const bool is_check =
      request.starts_with("GET /report ") && request.ends_with("\r\n\r\n");
  // Requests have a short body; all of it must be read, or the close is a
  // reset.
  if (!is_check && !request.ends_with("\r\n\r\nx")) {
    return;
  }
  h2o_buffer_consume(&socket->input, socket->input->size);
  h2o_socket_read_stop(socket);
  this->idle.erase(socket);
  if (is_check) {
    this->Write(socket, "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
    return;
  }
  if (PathOf(request).ends_with(kReset)) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset,
               sizeof reset);
  }
  const bool is_restarting = PathOf(request).ends_with(kRestarts);
  if (is_restarting || PathOf(request).ends_with(kEnds)) {
    this->listener = nullptr;
    this->CloseIdle();
  }
  if (is_restarting) {
    this->loop.RunAfter(kDownTime, [this] { (void)this->StartListening(); });
  }
  const std::string path = PathOf(request);
  const size_t kind = path.rfind(kEndless);
  if (kind != std::string::npos) {
    const EndlessAnswer answer =
        EndlessAnswerTo(path.substr(kind + kEndless.size()),
                        FindValue(request, "x-attempt-id"));
    this->answers[socket] = answer.begin + answer.block;
    this->endless[socket] = answer.block;
    this->SendWithoutEnd(socket);
    return;
  }
  if (path.ends_with(kReborn)) {
    this->EndAndBeginAnew(socket, AnswerTo(request));
    return;
  }
  this->Write(socket, AnswerTo(request));
}

bool RawServer::is_answered_early(h2o_socket_t* socket,
                                  const std::string& request) {
  const std::string path = PathOf(request);
  const size_t name = path.rfind(kEarly);
  if (name == std::string::npos ||
      request.find("\r\n\r\n") == std::string::npos) {
    return false;
  }
  const auto after = ParseAfterAnswer(path.substr(name + kEarly.size()));
  if (!after) {
    return false;
  }
  this->idle.erase(socket);
  AnswerEarly(this->loop, socket, AnswerTo(request), *after);
  return true;
}

void RawServer::CloseIdle() {
  for (h2o_socket_t* other : std::exchange(this->idle, {})) {
    h2o_socket_close(other);
  }
}

// The new process listens before the gateway has seen the end of the old one.
void RawServer::EndAndBeginAnew(h2o_socket_t* socket, std::string half) {
  std::string& answer = this->answers[socket] = std::move(half);
  h2o_iovec_t bytes = h2o_iovec_init(answer.data(), answer.size());
  h2o_socket_write(socket, &bytes, 1, [](h2o_socket_t* source, const char*) {
    auto* server = static_cast<RawServer*>(source->data);
    server->loop.RunAfter(kLifeTime, [server, source] {
      server->answers.erase(source);
      server->CloseIdle();
      h2o_socket_close(source);
    });
  });
}

void RawServer::Write(h2o_socket_t* socket, std::string bytes_of_answer) {
  std::string& answer = this->answers[socket] = std::move(bytes_of_answer);
  h2o_iovec_t bytes = h2o_iovec_init(answer.data(), answer.size());
  h2o_socket_write(socket, &bytes, 1, [](h2o_socket_t* source, const char*) {
    static_cast<RawServer*>(source->data)->answers.erase(source);
    h2o_socket_close(source);
  });
}

void RawServer::SendWithoutEnd(h2o_socket_t* socket) {
  const std::string& answer = this->answers.at(socket);
  h2o_iovec_t bytes = h2o_iovec_init(answer.data(), answer.size());
  h2o_socket_write(socket, &bytes, 1,
                   [](h2o_socket_t* source, const char* failure) {
                     auto* server = static_cast<RawServer*>(source->data);
                     if (failure != nullptr) {
                       server->answers.erase(source);
                       server->endless.erase(source);
                       h2o_socket_close(source);
                       return;
                     }
                     server->answers[source] = server->endless.at(source);
                     server->loop.RunAfter(kBlockInterval, [server, source] {
                       server->SendWithoutEnd(source);
                     });
                   });
}

}  // namespace bramleyspan::standins
