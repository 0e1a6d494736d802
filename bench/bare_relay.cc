// The baseline of the path's measurements: takes a request, calls one engine
// and passes the bytes on, with the same server and client libraries and
// nothing else. bench-bare-relay LISTEN ENGINE

#include <signal.h>
#include <unistd.h>

#include "net/endpoint_client.h"
#include "net/http_server.h"

int main(int argc, char** argv) {
  using namespace leverwick;  // NOLINT: a program of one function
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  EndpointClient client;
  HttpServerOptions options;
  options.address = argv[1];
  options.threads = 1500;
  HttpServer server;
  std::string engine = argv[2];
  auto relay = [&](const HttpRequest& request, HttpResponder* responder) {
    EndpointCall call;
    call.address = engine;
    call.path = request.path;
    call.body = request.body;
    call.headers = {"Content-Type: application/json",
                    "X-Request-Id: " + request.Header("x-request-id")};
    call.connect_timeout = milliseconds(1000);
    call.timeout = milliseconds(100000);
    call.on_data = [&](const char* data, size_t size) {
      if (!responder->started()) {
        responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
      }
      return responder->Write(std::string(data, size));
    };
    client.Call(call);
    responder->EndStream();
  };
  if (server.Start(options, relay)) return 1;
  int received = 0;
  sigwait(&signals, &received);
  _exit(0);
}
