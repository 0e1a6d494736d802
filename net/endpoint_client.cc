// Handles are pooled by address, so that each keeps its connection. libcurl
// repeats a request by itself when a kept connection turns out closed; a call
// that must not be sent twice therefore takes a fresh connection.

#include "net/endpoint_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>

#include "net/http_codec.h"
#include "net/tcp_send_state.h"

namespace leverwick {
namespace {

constexpr size_t kMostIdlePerAddress = 64;
constexpr long kBufferBytes = 4096;
constexpr int kServerError = 500;
// Of all status lines, fields and trailers of a call.
constexpr size_t kMaxHeadBytes = 64UL * 1024;
// Of the bodies of all calls under way, so that an endpoint which writes
// without end does not fill the memory of the box.
constexpr size_t kMaxHeldBytes = 64UL << 20;
// Of what comes beside the body, which the library drops unseen: extensions of
// chunks. More than the kernel keeps of what has not been read.
constexpr uint64_t kMaxFramingBytes = 16UL << 20;
constexpr uint64_t kMaxFramingPerByte = 32;

void InitLibrary() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

long Milliseconds(nanoseconds duration) {
  auto ms = std::chrono::duration_cast<milliseconds>(duration).count();
  return static_cast<long>(std::max<int64_t>(1, ms));
}

// What the callbacks of one call share.
struct Transfer {
  const EndpointCall* call;
  EndpointAnswer* answer;
  CURL* handle;
  TimePoint last_data;
  std::atomic<size_t>* held_bytes;  // of all calls
  size_t own_bytes = 0;             // held of this one
  size_t head_bytes = 0;
  uint64_t body_bytes = 0;
  // Of the connection, before this call.
  std::optional<uint64_t> received_before = {};
  // The kept connection's, until a new one is opened.
  curl_socket_t socket = CURL_SOCKET_BAD;
  // Whether the newest head was read up to its end. The library takes an answer
  // that is closed inside its head for whole, and its body for empty.
  bool head_ended = false;
  bool stopped = false;
  bool stalled = false;

  bool Hold(const char* data, size_t size) {
    own_bytes += size;
    if ((*held_bytes += size) > kMaxHeldBytes) return false;
    answer->body.append(data, size);
    return true;
  }

  // Whether the connection has brought much more than the body.
  bool IsFramingTooLong() {
    if (socket == CURL_SOCKET_BAD) return false;
    auto received = ReadTcpBytesReceived(socket);
    if (!received) return false;
    if (!received_before) received_before = received;
    uint64_t most = kMaxFramingBytes + (1 + kMaxFramingPerByte) * body_bytes;
    return *received - *received_before > most;
  }
};

int StatusOf(CURL* handle) {
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  return static_cast<int>(status);
}

size_t OnData(char* data, size_t, size_t size, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  transfer->last_data = Clock::now();
  transfer->body_bytes += size;
  bool good = StatusOf(transfer->handle) < 300;
  if (!transfer->call->on_data || !good) {
    return transfer->Hold(data, size) ? size : 0;
  }
  if (transfer->call->on_data(data, size)) return size;
  transfer->stopped = true;
  return 0;
}

bool IsStatusLine(const std::string& line) {
  return line.rfind("HTTP/", 0) == 0;
}

bool IsHeadEnd(const std::string& line) {
  return line == "\r\n" || line == "\n";
}

// Whether the line of a head is a status line, a field or the end.
bool IsHeadLine(const std::string& line) {
  return IsStatusLine(line) || IsHeadEnd(line) ||
         IsFieldName(line.substr(0, line.find(':')));
}

size_t OnHeader(char* data, size_t, size_t size, void* user) {
  constexpr size_t kEndCall = 0;
  auto* transfer = static_cast<Transfer*>(user);
  std::string line(data, size);
  transfer->head_bytes += size;
  bool is_too_long = transfer->head_bytes > kMaxHeadBytes;
  if (is_too_long || !IsHeadLine(line)) return kEndCall;
  // Trailers have no status line, and so begin no other head.
  if (IsStatusLine(line)) transfer->head_ended = false;
  if (IsHeadEnd(line)) transfer->head_ended = true;
  std::transform(line.begin(), line.end(), line.begin(), ::tolower);
  if (line.rfind("x-started: false", 0) == 0) {
    transfer->answer->not_started = true;
  }
  size_t colon = line.find(": ");
  if (transfer->call->keep_headers && colon != std::string::npos) {
    size_t end = size;
    while (end > colon && (data[end - 1] == '\r' || data[end - 1] == '\n')) {
      --end;
    }
    transfer->answer->headers[line.substr(0, colon)] =
        std::string(data + colon + 2, data + end);
  }
  return size;
}

int OnSocket(void* user, curl_socket_t socket, curlsocktype) {
  auto* transfer = static_cast<Transfer*>(user);
  transfer->socket = socket;
  transfer->received_before.reset();
  return CURL_SOCKOPT_OK;
}

int OnProgress(void* user, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->IsFramingTooLong()) return 1;
  nanoseconds stall = transfer->call->stall;
  if (stall.count() == 0) return 0;
  transfer->stalled = Clock::now() - transfer->last_data > stall;
  return transfer->stalled ? 1 : 0;
}

curl_slist* MakeHeaders(const EndpointCall& call) {
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : call.headers) {
    list = curl_slist_append(list, header.c_str());
  }
  return list;
}

void SetOptions(CURL* handle, const EndpointCall& call, Transfer* transfer,
                curl_slist* headers) {
  std::string url = "http://" + call.address + call.path;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kBufferBytes);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  if (call.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(call.body.size()));
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   Milliseconds(call.connect_timeout));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, Milliseconds(call.timeout));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, transfer);
  curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(handle, CURLOPT_XFERINFODATA, transfer);
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT,
                   call.fresh_connection ? 1L : 0L);
}

EndpointAnswer::Kind KindOf(CURL* handle, CURLcode code,
                            const Transfer& transfer) {
  bool is_answer = code == CURLE_OK && IsFinalStatus(StatusOf(handle)) &&
                   transfer.head_ended;
  if (is_answer) return EndpointAnswer::kAnswered;
  if (transfer.stopped) return EndpointAnswer::kStopped;
  long sent = 0;
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
  if (sent == 0) return EndpointAnswer::kNotSent;
  bool late = code == CURLE_OPERATION_TIMEDOUT || transfer.stalled;
  return late ? EndpointAnswer::kTimedOut : EndpointAnswer::kLost;
}

}  // namespace

struct EndpointClient::Pool {
  std::mutex mutex;
  std::map<std::string, std::vector<CURL*>> idle;
  std::atomic<size_t> held_bytes{0};

  CURL* Take(const std::string& address) {
    std::lock_guard<std::mutex> lock(mutex);
    std::vector<CURL*>& handles = idle[address];
    if (handles.empty()) return curl_easy_init();
    CURL* handle = handles.back();
    handles.pop_back();
    return handle;
  }

  void Return(const std::string& address, CURL* handle) {
    std::lock_guard<std::mutex> lock(mutex);
    std::vector<CURL*>& handles = idle[address];
    if (handles.size() < kMostIdlePerAddress) {
      curl_easy_reset(handle);
      handles.push_back(handle);
    } else {
      curl_easy_cleanup(handle);
    }
  }

  ~Pool() {
    for (auto& entry : idle) {
      for (CURL* handle : entry.second) curl_easy_cleanup(handle);
    }
  }
};

EndpointClient::EndpointClient() : pool_(std::make_unique<Pool>()) {
  InitLibrary();
}

EndpointClient::~EndpointClient() = default;

EndpointAnswer EndpointClient::Call(const EndpointCall& call) {
  EndpointAnswer answer;
  CURL* handle = pool_->Take(call.address);
  if (handle == nullptr) return answer;
  Transfer transfer{&call, &answer, handle, Clock::now(), &pool_->held_bytes};
  curl_easy_getinfo(handle, CURLINFO_ACTIVESOCKET, &transfer.socket);
  curl_slist* headers = MakeHeaders(call);
  SetOptions(handle, call, &transfer, headers);
  CURLcode code = curl_easy_perform(handle);
  pool_->held_bytes -= transfer.own_bytes;
  answer.kind = KindOf(handle, code, transfer);
  answer.status = StatusOf(handle);
  char* type = nullptr;
  curl_easy_getinfo(handle, CURLINFO_CONTENT_TYPE, &type);
  if (type != nullptr) answer.content_type = type;
  // Only an error answer can say that nothing was started.
  answer.not_started = answer.not_started && answer.status >= kServerError &&
                       answer.kind == EndpointAnswer::kAnswered;
  curl_slist_free_all(headers);
  pool_->Return(call.address, handle);
  return answer;
}

}  // namespace leverwick
