// Notes are gathered until the first has waited for some milliseconds, or the
// datagram is full. A datagram that can't be sent or read is counted and costs
// nothing but accuracy.

#include "daemon/load_exchange.h"

#include <random>

#include "net/log.h"
#include "net/tcp_connection.h"

namespace leverwick {
namespace {

const Log kLog("loads");

// How long a note waits for others: well below the 40 ms that the shortest
// prompts take to be read, so that the news is not older than the prompt.
constexpr milliseconds kGather{10};
// Notes that fill a datagram; with the one that came last it stays below 1,400
// bytes, what an Ethernet frame takes.
constexpr size_t kFullBytes = 1000;

}  // namespace

LoadExchange::LoadExchange(boost::asio::io_context* loop, EngineLoads* loads,
                           Metrics* metrics, std::string data_centre,
                           size_t most_far)
    : loads_(loads),
      metrics_(metrics),
      data_centre_(std::move(data_centre)),
      most_far_(most_far),
      socket_(*loop),
      timer_(*loop) {
  notes_.set_life(std::random_device{}());
}

LoadExchange::~LoadExchange() { loads_->Observe(nullptr); }

std::error_code LoadExchange::Start(
    const boost::asio::ip::udp::endpoint& address) {
  boost::system::error_code error;
  socket_.open(address.protocol(), error);
  if (!error) socket_.bind(address, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return error;
  loads_->Observe(this);
  Receive();
  return {};
}

void LoadExchange::SetBoxes(const std::vector<FleetBox>& boxes) {
  std::vector<Address> near;
  std::vector<Address> far;
  for (const FleetBox& box : boxes) {
    boost::asio::ip::tcp::endpoint address;
    if (!ParseAddress(box.address, &address)) {
      kLog.Error("A box's address can't be read.", {{"box", box.name}});
      continue;
    }
    auto& group = box.data_centre == data_centre_ ? near : far;
    group.emplace_back(address.address(), address.port());
  }
  told_ = std::move(near);
  if (far.size() <= most_far_)
    told_.insert(told_.end(), far.begin(), far.end());
}

void LoadExchange::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](boost::system::error_code error, size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        // An error is that of a datagram sent before, to a box that is gone.
        if (!error) Learn(size);
        Receive();
      });
}

void LoadExchange::Learn(size_t size) {
  LoadNotes notes;
  bool readable = notes.ParseFromArray(buffer_.data(), static_cast<int>(size));
  metrics_->Add("leverwick_load_notes_total",
                readable ? "result=\"heard\"" : "result=\"unreadable\"", 1);
  if (!readable) return;
  TimePoint now = Clock::now();
  for (const PromptNote& note : notes.sent()) {
    SentPrompt prompt;
    prompt.life = notes.life();
    prompt.ticket = note.ticket();
    prompt.endpoint = note.endpoint();
    prompt.reading = Seconds(note.reading_seconds());
    prompt.parts.assign(note.parts().begin(), note.parts().end());
    loads_->PeerSent(prompt, now);
  }
  for (uint64_t ticket : notes.read()) loads_->PeerRead(notes.life(), ticket);
}

void LoadExchange::OnSent(const SentPrompt& prompt) {
  PromptNote* note = notes_.add_sent();
  note->set_ticket(prompt.ticket);
  note->set_endpoint(prompt.endpoint);
  note->set_reading_seconds(static_cast<float>(prompt.reading.count()));
  note->mutable_parts()->Add(prompt.parts.begin(), prompt.parts.end());
  SendSoon();
}

void LoadExchange::OnRead(uint64_t ticket) {
  notes_.add_read(ticket);
  SendSoon();
}

void LoadExchange::SendSoon() {
  if (notes_.ByteSizeLong() >= kFullBytes) return Send();
  if (waiting_) return;
  waiting_ = true;
  timer_.expires_after(kGather);
  timer_.async_wait([this](auto error) {
    if (error) return;
    waiting_ = false;
    Send();
  });
}

void LoadExchange::Send() {
  if (notes_.sent().empty() && notes_.read().empty()) return;
  std::string bytes = notes_.SerializeAsString();
  notes_.clear_sent();
  notes_.clear_read();
  for (const Address& box : told_) {
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(bytes), box, 0, error);
    metrics_->Add("leverwick_load_notes_total",
                  error ? "result=\"not_sent\"" : "result=\"sent\"", 1);
  }
}

}  // namespace leverwick
