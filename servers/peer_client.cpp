#include "servers/peer_client.hpp"

#include <algorithm>
#include <chrono>
#include <grpcpp/grpcpp.h>
#include <map>

#include "core/error.hpp"
#include "proto/peer.grpc.pb.h"
#include "servers/peer_codec.hpp"

namespace dragonflywell::servers {

namespace {

constexpr int keepalive_interval_milliseconds = 10000;
constexpr int keepalive_timeout_milliseconds = 2000;
constexpr int most_received_bytes = 256 * 1024;
constexpr int first_backoff_milliseconds = 200;
constexpr int most_backoff_milliseconds = 2000;

/// One call that is on its way.
struct running_call {
    grpc::ClientContext context;
    grpc::Status status;
    proto::GossipMessage request;
    proto::GossipAnswer answer;
    std::unique_ptr<grpc::ClientAsyncResponseReader<proto::GossipAnswer>> reader;
};

std::shared_ptr<grpc::Channel> make_channel(const endpoint& peer) {
    grpc::ChannelArguments arguments;
    // A connection that went silent for good is found by pings and replaced.
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_interval_milliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_milliseconds);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_backoff_milliseconds);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, most_backoff_milliseconds);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetMaxReceiveMessageSize(most_received_bytes);
    // A scheme with plain numbers keeps gRPC's own name lookup out.
    const bool is_version_6 = peer.address.find(':') != std::string::npos;
    const std::string target = (is_version_6 ? "ipv6:" : "ipv4:") + format_endpoint(peer);
    return grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace

class peer_client::implementation {
public:
    explicit implementation(peer_client_options options) : m_options(options) {}

    ~implementation() {
        m_queue.Shutdown();
        void* tag = nullptr;
        bool is_ok = false;
        while (m_queue.Next(&tag, &is_ok)) {
        }
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    std::vector<coordination::gossip_message> exchange(std::span<const coordination::addressed_message> messages) {
        std::vector<std::unique_ptr<running_call>> calls;
        for (const coordination::addressed_message& message : messages) {
            calls.push_back(start_call(message));
        }
        std::vector<coordination::gossip_message> answers;
        // Each call ends by its own deadline, so the queue yields exactly as many events as there are calls.
        for (std::size_t count = 0; count < calls.size(); ++count) {
            void* tag = nullptr;
            bool is_ok = false;
            m_queue.Next(&tag, &is_ok);
            const auto* call = static_cast<const running_call*>(tag);
            if (is_ok && call->status.ok()) {
                take_answers(call->answer, answers);
            }
        }
        return answers;
    }

    std::optional<coordination::log_batch> read_records(const endpoint& peer, std::string_view stream,
                                                        coordination::log_offset from, std::size_t most) {
        proto::ReadRecordsRequest request;
        request.set_stream(std::string(stream));
        request.set_from(from);
        request.set_most(most);
        proto::ReadRecordsAnswer answer;
        grpc::ClientContext context;
        context.set_deadline(get_deadline());
        const grpc::Status status = get_stub(peer).ReadRecords(&context, request, &answer);
        if (!status.ok() || !answer.is_held()) {
            return std::nullopt;
        }
        return decode(answer);
    }

    std::optional<configuration_page> read_configuration(const endpoint& peer, const std::string& after) {
        proto::ReadConfigurationRequest request;
        request.set_after(after);
        proto::ReadConfigurationAnswer answer;
        grpc::ClientContext context;
        context.set_deadline(get_deadline());
        const grpc::Status status = get_stub(peer).ReadConfiguration(&context, request, &answer);
        if (!status.ok()) {
            return std::nullopt;
        }
        return decode(answer);
    }

private:
    struct connection {
        std::unique_ptr<proto::PeerService::Stub> stub;
        std::uint64_t last_use{};
    };

    std::unique_ptr<running_call> start_call(const coordination::addressed_message& message) {
        auto call = std::make_unique<running_call>();
        call->context.set_deadline(get_deadline());
        encode(message.message, call->request);
        call->reader = get_stub(message.to).AsyncGossip(&call->context, call->request, &m_queue);
        call->reader->Finish(&call->answer, &call->status, call.get());
        return call;
    }

    static void take_answers(const proto::GossipAnswer& from, std::vector<coordination::gossip_message>& to) {
        for (const proto::GossipMessage& message : from.messages()) {
            try {
                to.push_back(decode(message));
            } catch (const malformed_message_error&) { // NOLINT(bugprone-empty-catch)
                // A message that cannot be read counts as lost, which gossip copes with.
            }
        }
    }

    [[nodiscard]] std::chrono::system_clock::time_point get_deadline() const {
        return std::chrono::system_clock::now() +
               std::chrono::duration_cast<std::chrono::system_clock::duration>(m_options.deadline);
    }

    proto::PeerService::Stub& get_stub(const endpoint& peer) {
        connection& used = m_connections[peer];
        used.last_use = ++m_uses;
        if (used.stub == nullptr) {
            used.stub = proto::PeerService::NewStub(make_channel(peer));
            close_oldest();
        }
        return *used.stub;
    }

    void close_oldest() {
        while (m_connections.size() > m_options.most_connections) {
            const auto oldest =
                std::min_element(m_connections.begin(), m_connections.end(), [](const auto& left, const auto& right) {
                    return left.second.last_use < right.second.last_use;
                });
            m_connections.erase(oldest);
        }
    }

    peer_client_options m_options;
    grpc::CompletionQueue m_queue;
    std::map<endpoint, connection> m_connections;
    std::uint64_t m_uses{0};
};

peer_client::peer_client(peer_client_options options) : m_implementation(std::make_unique<implementation>(options)) {}

peer_client::~peer_client() = default;

std::vector<coordination::gossip_message>
peer_client::exchange(std::span<const coordination::addressed_message> messages) {
    return m_implementation->exchange(messages);
}

std::optional<coordination::log_batch> peer_client::read_records(const endpoint& peer, std::string_view stream,
                                                                 coordination::log_offset from, std::size_t most) {
    return m_implementation->read_records(peer, stream, from, most);
}

std::optional<configuration_page> peer_client::read_configuration(const endpoint& peer, const std::string& after) {
    return m_implementation->read_configuration(peer, after);
}

} // namespace dragonflywell::servers
