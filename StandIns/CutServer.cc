// Stand-in for a plain service whose answers break off: the last part of a
// request's path is the place (see CutAnswers.h). Other requests get a whole
// answer.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <map>

#include "Kernel/Listener.h"
#include "LibHTTP/Parser.h"
#include "StandIns/CutAnswers.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8000", "IP:PORT to listen on");

namespace bramleyspan::standins {

namespace {

constexpr std::string_view kHeaderLines = "content-type: text/plain\r\n";

// Answers that are being written.
using Answers = std::map<h2o_socket_t*, std::string>;

// Returns the target of a request that has come as a whole.
std::optional<std::string> TargetOf(std::string_view input) {
  const auto parsed = http::ParseRequestHead(input);
  if (parsed.has_error() || !parsed.value()) {
    return std::nullopt;
  }
  const http::RequestHead& head = *parsed.value();
  const auto framing = http::FramingOfRequest(head);
  const bool is_whole = framing.has_value() &&
                        input.size() >= head.bytes + framing.value().length;
  return is_whole ? std::optional(head.target) : std::nullopt;
}

std::string AnswerTo(const std::string& target) {
  const std::string header_lines(kHeaderLines);
  const std::vector<std::string> parts{"first ", "second"};
  const std::string place = target.substr(target.rfind('/') + 1);
  const auto answer = CutAnswer(place, header_lines, parts);
  return answer ? *answer : *CutAnswer("by-length", header_lines, parts);
}

void HandleReadable(Answers& answers,
                    h2o_socket_t* socket,
                    const char* failure) {
  if (failure != nullptr) {
    h2o_socket_close(socket);
    return;
  }
  const auto target = TargetOf({socket->input->bytes, socket->input->size});
  if (!target) {
    return;
  }
  h2o_buffer_consume(&socket->input, socket->input->size);
  h2o_socket_read_stop(socket);
  std::string& answer = answers[socket] = AnswerTo(*target);
  h2o_iovec_t bytes = h2o_iovec_init(answer.data(), answer.size());
  h2o_socket_write(socket, &bytes, 1, [](h2o_socket_t* source, const char*) {
    static_cast<Answers*>(source->data)->erase(source);
    h2o_socket_close(source);
  });
}

int Serve(const std::string& address_text) {
  EventLoop loop;
  Answers answers;
  const auto address = ParseAddress(address_text);
  if (address.has_error()) {
    std::cerr << Describe(address.error()) << "\n";
    return 2;
  }
  const auto listener =
      Listener::Listen(loop, address.value(), [&answers](h2o_socket_t* socket) {
        socket->data = &answers;
        h2o_socket_read_start(socket, [](h2o_socket_t* source,
                                         const char* failure) {
          HandleReadable(*static_cast<Answers*>(source->data), source, failure);
        });
      });
  if (listener.has_error()) {
    std::cerr << Describe(listener.error()) << "\n";
    return 1;
  }
  loop.OnStopSignal([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace

}  // namespace bramleyspan::standins

int main(int argument_count, char** arguments) {
  absl::ParseCommandLine(argument_count, arguments);
  return bramleyspan::standins::Serve(absl::GetFlag(FLAGS_address));
}
