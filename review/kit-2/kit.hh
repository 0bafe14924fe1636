// Small stand-ins for the scripts of this review: the platform's store, its API, replicas, clients, and a runner of the
// daemon. Plain POSIX sockets and threads; loopback addresses only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using clock_type = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const clock_type::time_point started_at = clock_type::now();

inline double seconds() { return std::chrono::duration<double>(clock_type::now() - started_at).count(); }

inline void pause(double length) { std::this_thread::sleep_for(std::chrono::duration<double>(length)); }

// --- The record of a run -------------------------------------------------------------------------------------------

inline FILE* record_file = nullptr;
inline std::mutex record_mutex;

inline void open_record(const std::string& path) { record_file = std::fopen(path.c_str(), "w"); }

__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
    const std::scoped_lock lock(record_mutex);
    for (FILE* out : {record_file, stdout}) {
        if (out == nullptr) {
            continue;
        }
        std::fprintf(out, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(out, format, arguments);
        va_end(arguments);
        std::fputc('\n', out);
        std::fflush(out);
    }
}

// --- Messages ------------------------------------------------------------------------------------------------------

inline bool same_name(const std::string& left, const std::string& right) {
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /// A response that ended as its framing says.
    bool is_complete{false};

    std::string get(const std::string& name) const {
        for (const auto& [field, value] : fields) {
            if (same_name(field, name)) {
                return value;
            }
        }
        return {};
    }
    bool has(const std::string& name) const {
        for (const auto& item : fields) {
            if (same_name(item.first, name)) {
                return true;
            }
        }
        return false;
    }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const std::size_t begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string query(const std::string& name) const {
        const std::string all = target();
        std::size_t at = all.find('?');
        while (at != std::string::npos) {
            const std::size_t end = all.find('&', at + 1);
            const std::string pair = all.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.substr(0, pair.find('=')) == name) {
                return pair.substr(pair.find('=') + 1);
            }
            at = end;
        }
        return {};
    }
    int status() const { return first_line.size() > 9 ? std::atoi(first_line.c_str() + 9) : 0; }
};

/// One side of a TCP connection. Reads have a time limit.
class peer_link {
public:
    explicit peer_link(int descriptor) : m_descriptor(descriptor) {
        const int yes = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link() { close(); }

    bool is_open() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    void close() {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
            m_descriptor = -1;
        }
    }
    /// Breaks the connection; the descriptor is freed by `close`.
    void reset() {
        const linger now{1, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::shutdown(m_descriptor, SHUT_RD);
        m_is_ended = true;
    }
    bool write(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Reads some bytes. Returns false at the end, after a fault, or when the limit is over.
    bool fill(double limit) {
        pollfd wait{m_descriptor, POLLIN, 0};
        if (m_descriptor < 0 || ::poll(&wait, 1, static_cast<int>(limit * 1000)) <= 0) {
            return false;
        }
        char piece[65536];
        const ssize_t count = ::recv(m_descriptor, piece, sizeof piece, 0);
        if (count <= 0) {
            m_is_ended = true;
            m_is_reset = count < 0;
            return false;
        }
        m_buffer.append(piece, static_cast<std::size_t>(count));
        return true;
    }
    /// Whether the peer has ended the connection; takes no input.
    bool is_left() const {
        char byte;
        const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool read_head(message& into, double limit) {
        std::size_t end;
        const double until = seconds() + limit;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(std::max(0.0, until - seconds()))) {
                return false;
            }
        }
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        bool is_first = true;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (is_first) {
                into.first_line = line;
                is_first = false;
                continue;
            }
            const std::size_t colon = line.find(':');
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            into.fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
        return true;
    }
    bool take(std::string& into, std::size_t count, double until) {
        while (m_buffer.size() < count) {
            if (!fill(std::max(0.0, until - seconds()))) {
                return false;
            }
        }
        into.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return true;
    }
    /// Reads a body. `ends_with_connection`: without a length, the body lasts until the connection ends.
    bool read_body(message& into, double limit, bool ends_with_connection) {
        const double until = seconds() + limit;
        if (same_name(into.get("Transfer-Encoding"), "chunked")) {
            for (;;) {
                std::size_t end;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(std::max(0.0, until - seconds()))) {
                        return false;
                    }
                }
                const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, end + 2);
                std::string crlf;
                if (!take(into.body, size, until) || !take(crlf, 2, until)) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
            }
        }
        if (into.has("Content-Length")) {
            return take(into.body, std::strtoul(into.get("Content-Length").c_str(), nullptr, 10), until);
        }
        if (!ends_with_connection) {
            return true;
        }
        while (fill(std::max(0.0, until - seconds()))) {
        }
        into.body += std::exchange(m_buffer, {});
        return m_is_ended && !m_is_reset;
    }
    bool is_ended() const { return m_is_ended; }
    std::string& buffer() { return m_buffer; }

private:
    int m_descriptor;
    std::string m_buffer;
    bool m_is_ended{false};
    bool m_is_reset{false};
};

// --- Addresses -----------------------------------------------------------------------------------------------------

struct address {
    std::string ip;
    int port{};
    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in native() const {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &target.sin_addr);
        return target;
    }
};

/// A port that is free for TCP and UDP now, below the range of ephemeral ports.
inline int free_port(const std::string& ip) {
    static int next = 11000 + (getpid() * 37) % 9000;
    for (;; ++next) {
        const sockaddr_in target = address{ip, next}.native();
        const int stream = ::socket(AF_INET, SOCK_STREAM, 0);
        const int datagram = ::socket(AF_INET, SOCK_DGRAM, 0);
        const bool is_free = ::bind(stream, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 &&
                             ::bind(datagram, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
        ::close(stream);
        ::close(datagram);
        if (is_free) {
            return next++;
        }
    }
}

inline std::unique_ptr<peer_link> connect_to(const address& peer) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = peer.native();
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<peer_link>(descriptor);
}

/// Accepts connections and serves each in a thread.
class listener {
public:
    using server = std::function<void(peer_link&)>;
    listener(const std::string& ip, server serve) : m_serve(std::move(serve)) {
        do {
            m_address = {ip, free_port(ip)};
        } while (!open());
        std::thread([this] {
            for (;;) {
                pollfd wait{m_descriptor, POLLIN, 0};
                if (m_is_dark) {
                    pause(0.02);
                    continue;
                }
                if (::poll(&wait, 1, 20) <= 0) {
                    continue;
                }
                int accepted = -1;
                {
                    const std::scoped_lock lock(m_mutex);
                    accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
                }
                if (accepted < 0) {
                    pause(0.005);
                    continue;
                }
                ::fcntl(accepted, F_SETFL, 0);
                std::thread([this, accepted] {
                    peer_link peer(accepted);
                    {
                        const std::scoped_lock lock(m_mutex);
                        m_open.insert(accepted);
                    }
                    m_serve(peer);
                    const std::scoped_lock lock(m_mutex);
                    m_open.erase(accepted);
                    peer.close();
                }).detach();
            }
        }).detach();
    }
    const address& at() const { return m_address; }

    /// New connections are refused, and those that are open are broken, as when a process is killed.
    void refuse() {
        const std::scoped_lock lock(m_mutex);
        ::close(m_descriptor.exchange(-1));
        for (const int open : m_open) {
            ::shutdown(open, SHUT_RDWR);
        }
    }
    void accept_again() {
        const std::scoped_lock lock(m_mutex);
        open();
    }
    /// New connections get no answer at all, as from a machine without power.
    void go_dark() {
        m_is_dark = true;
        ::listen(m_descriptor, 0);
        const sockaddr_in own = m_address.native();
        for (int index = 0; index < 4; ++index) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(filler, reinterpret_cast<const sockaddr*>(&own), sizeof own));
            m_fillers.push_back(filler);
        }
    }
    void come_back() {
        for (const int filler : std::exchange(m_fillers, {})) {
            ::close(filler);
        }
        for (int old; (old = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) {
            ::close(old);
        }
        ::listen(m_descriptor, 1024);
        m_is_dark = false;
    }

private:
    bool open() {
        const int yes = 1;
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const sockaddr_in own = m_address.native();
        if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0 &&
            ::listen(m_descriptor, 1024) == 0) {
            return true;
        }
        ::close(m_descriptor.exchange(-1));
        return false;
    }

    std::mutex m_mutex;
    server m_serve;
    address m_address;
    std::atomic<int> m_descriptor{-1};
    std::set<int> m_open;
    std::atomic<bool> m_is_dark{false};
    std::vector<int> m_fillers;
};

inline std::string respond(int status, const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Serves requests on a connection one after the other until one side ends it.
inline void serve_requests(peer_link& peer, const std::function<bool(const message&, peer_link&)>& answer) {
    for (;;) {
        message request;
        if (!peer.read_head(request, 300) || !peer.read_body(request, 60, false) || !answer(request, peer)) {
            return;
        }
    }
}

// --- The platform's store ------------------------------------------------------------------------------------------

inline std::string base64(const std::string& bytes) {
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8 | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += at + index <= bytes.size() ? letters[group >> (18 - 6 * index) & 63] : '=';
        }
    }
    return text;
}

inline std::string unescape(const std::string& text) {
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            plain += text[at];
        }
    }
    return plain;
}

class store {
public:
    explicit store(const std::string& ip)
        : m_listener(ip, [this](peer_link& peer) {
              serve_requests(peer, [this](const message& request, peer_link& own) { return answer(request, own); });
          }) {}

    const address& at() const { return m_listener.at(); }
    void put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::scoped_lock lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_news.notify_all();
    }
    std::vector<std::pair<std::string, std::string>> get_records(const std::string& topic) {
        const std::scoped_lock lock(m_mutex);
        return m_topics[topic];
    }
    /// Called with each call before it is carried out. Returns whether the call is carried out and answered.
    std::function<bool(const message&, peer_link&)> filter;

private:
    using topic_records = std::vector<std::pair<std::string, std::string>>;

    static std::string number(std::uint64_t value, int bytes) {
        std::string text;
        for (int index = bytes - 1; index >= 0; --index) {
            text += static_cast<char>(value >> (8 * index) & 255);
        }
        return text;
    }

    bool answer(const message& request, peer_link& peer) {
        if (filter && !filter(request, peer)) {
            return false;
        }
        const std::string path = request.path();
        const std::string topic = unescape(request.query("topic"));
        std::unique_lock lock(m_mutex);
        topic_records& records = m_topics[topic];
        if (path == "/-/log-append") {
            const std::string at = request.query("at");
            if (!at.empty() && std::stoull(at) != records.size()) {
                lock.unlock();
                return peer.write(respond(412, "{\"endOffset\":" + std::to_string(records.size()) + "}"));
            }
            const std::size_t offset = records.size();
            for (std::size_t next = 0; next + 4 <= request.body.size();) {
                std::size_t length = 0;
                for (int index = 0; index < 4; ++index) {
                    length = length << 8 | static_cast<unsigned char>(request.body[next++]);
                }
                const std::size_t key = static_cast<unsigned char>(request.body[next]);
                records.emplace_back(request.body.substr(next + 1, key),
                                     request.body.substr(next + 1 + key, length - 1 - key));
                next += length;
            }
            m_news.notify_all();
            return peer.write(respond(200, "{\"offset\":" + std::to_string(offset) +
                                               ",\"endOffset\":" + std::to_string(records.size()) + "}"));
        }
        if (path == "/-/log-read") {
            const std::uint64_t from = std::stoull(request.query("from"));
            const std::string wait = request.query("waitMs");
            if (!wait.empty()) {
                m_news.wait_for(lock, std::chrono::milliseconds(std::stoul(wait)),
                                [&] { return records.size() > from; });
            }
            std::string body = number(records.size(), 8) + number(0, 8);
            for (std::size_t offset = from; offset < records.size() && offset < from + 500; ++offset) {
                const auto& [key, value] = records[offset];
                body += number(1 + key.size() + value.size(), 4) + number(key.size(), 1) + key + value;
            }
            return peer.write(respond(200, body));
        }
        if (path == "/-/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t offset = 0; offset < records.size(); ++offset) {
                newest[records[offset].first] = offset;
            }
            const std::string after = unescape(request.query("after"));
            std::string items;
            std::size_t count = 0;
            bool has_more = false;
            for (const auto& [key, offset] : newest) {
                if ((!after.empty() && key <= after) || records[offset].second.empty()) {
                    continue;
                }
                if (++count > 500) {
                    has_more = true;
                    break;
                }
                items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key + "\",\"value\":\"" +
                                                       base64(records[offset].second) +
                                                       "\",\"offset\":" + std::to_string(offset) + "}");
            }
            return peer.write(respond(200, "{\"items\":[" + items + "],\"more\":" + (has_more ? "true" : "false") +
                                               ",\"endOffset\":" + std::to_string(records.size()) + "}"));
        }
        return peer.write(respond(404, "{}"));
    }

    std::mutex m_mutex;
    std::condition_variable m_news;
    std::map<std::string, topic_records> m_topics;
    listener m_listener;
};

// --- The platform's API --------------------------------------------------------------------------------------------

struct duty_call {
    double at{};
    std::string path;
    std::string holder;
    std::uint64_t fence{};
    std::string body;
    int status{};
};

/// Accepts the calls of duties. Checks the fence for each path and subject, as where `requireFence` is true.
class cloud {
public:
    explicit cloud(const std::string& ip)
        : m_listener(ip, [this](peer_link& peer) {
              serve_requests(peer, [this](const message& request, peer_link& own) { return answer(request, own); });
          }) {}
    const address& at() const { return m_listener.at(); }
    std::vector<duty_call> get_calls() {
        const std::scoped_lock lock(m_mutex);
        return m_calls;
    }

private:
    bool answer(const message& request, peer_link& peer) {
        int status = 200;
        {
            const std::scoped_lock lock(m_mutex);
            const std::uint64_t fence = std::stoull(request.get("Dragonflywell-Fence-Token"));
            std::uint64_t& highest = m_highest[request.path()];
            status = fence < highest ? 409 : 200;
            highest = std::max(highest, fence);
            m_calls.push_back({seconds(), request.path(), request.get("Dragonflywell-Duty-Holder"), fence,
                               request.body, status});
        }
        return peer.write(respond(status, status == 409 ? "{\"why\":\"fence\"}" : "{}"));
    }
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_highest;
    std::vector<duty_call> m_calls;
    listener m_listener;
};

// --- Replicas ------------------------------------------------------------------------------------------------------

/// The entry of a replica in the store.
inline std::string server_entry(const std::string& service, const std::string& addr, const std::string& stage,
                                std::int64_t born, int seq, const std::string& state = "ready", int slots = 64,
                                const std::string& zone = "z1") {
    std::string text = "{\"service\":\"" + service + "\",\"addr\":\"" + addr + "\",\"zone\":\"" + zone +
                       "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
                       "\",\"coldRemainingMs\":0";
    if (!stage.empty()) {
        text += ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    }
    return text + ",\"seq\":" + std::to_string(seq) + ",\"born\":" + std::to_string(born) + "}";
}

// --- The daemon ----------------------------------------------------------------------------------------------------

struct machine_limits {
    std::string link_mbps{"1000.0"};
    std::string cpu_share{"0.25"};
    long memory_mb{260};
    long descriptors{4100};
};

/// A daemon on a loopback address of its own, started as the deploy file says, with its template of settings.
class daemon_process {
public:
    daemon_process(std::string program, std::string folder, std::string name, std::string zone, std::string ip,
                   const address& store_at, const address& cloud_at, machine_limits limits = {})
        : m_program(std::move(program)), m_folder(std::move(folder)), m_name(std::move(name)), m_zone(std::move(zone)),
          m_ip(std::move(ip)), m_store(store_at), m_cloud(cloud_at), m_limits(std::move(limits)) {
        m_callers = {m_ip, free_port(m_ip)};
        m_ready = {m_ip, free_port(m_ip)};
        m_metrics = {m_ip, free_port(m_ip)};
        m_hosts = {m_ip, hosts_port()};
    }
    ~daemon_process() { kill(); }

    void start() {
        const std::string settings = m_folder + "/" + m_name + ".toml";
        FILE* file = std::fopen(settings.c_str(), "w");
        std::fprintf(file,
                     "[host]\nname = \"%s\"\nzone = \"%s\"\naddress = \"%s\"\nis_first_start = %s\n\n"
                     "[listen]\ncallers = \"%s\"\nready = \"%s\"\nmetrics = \"%s\"\nhosts = \"%s\"\n\n"
                     "[store]\naddress = \"%s\"\n\n"
                     "[orders]\naddress = \"%s\"\ncalls_per_second = 50.0\nduties = [\"usage\",\"autoscale\"]\n\n"
                     "[bounds]\nserver_heartbeat_ms = 1200\ncontact_ms = 3000\ndrain_ms = 2000\nstop_s = 8\n"
                     "configuration_ms = 2000\nlease_ms = 3000\nrepeats_per_request = 0.2\nrepeats_besides = 52\n"
                     "repeats_window_s = 10\nusage_window_s = 5\nusage_due_s = 10\n",
                     m_name.c_str(), m_zone.c_str(), m_ip.c_str(), m_starts == 0 ? "true" : "false",
                     m_callers.text().c_str(), m_ready.text().c_str(), m_metrics.text().c_str(),
                     m_hosts.text().c_str(), m_store.text().c_str(), m_cloud.text().c_str());
        std::fclose(file);
        ++m_starts;
        const std::string log = m_folder + "/" + m_name + ".log";
        std::vector<std::string> environment{
            "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8", "DRAGONFLYWELL_BOOT=" + settings,
            "HOST_LINK_MBPS=" + m_limits.link_mbps, "HOST_CPU_SHARE=" + m_limits.cpu_share,
            "HOST_MEMORY_MB=" + std::to_string(m_limits.memory_mb),
            "HOST_MAX_DESCRIPTORS=" + std::to_string(m_limits.descriptors), "HOST_QUOTA_WINDOW_S=",
            "HOST_QUOTA_OVERAGE=", "HOST_QUOTA_SLACK=", "HOST_LEARN_SERVER_SPEEDS=false"};
        std::vector<char*> variables;
        for (std::string& variable : environment) {
            variables.push_back(variable.data());
        }
        variables.push_back(nullptr);
        std::string option = "--config-from";
        std::string name = "DRAGONFLYWELL_BOOT";
        char* arguments[] = {m_program.data(), option.data(), name.data(), nullptr};
        const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
        // The pipe ends when the program has been loaded; until then the child counts as a copy of this process.
        int loaded[2];
        if (::pipe2(loaded, O_CLOEXEC) != 0) {
            return;
        }
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::execve(m_program.c_str(), arguments, variables.data());
            ::_exit(127);
        }
        ::close(output);
        ::close(loaded[1]);
        char none;
        while (::read(loaded[0], &none, 1) < 0 && errno == EINTR) {
        }
        ::close(loaded[0]);
    }
    void signal(int number) const {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    /// Whether the process has ended by itself or by a signal. Keeps its wait status.
    bool has_ended() {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid <= 0;
    }
    void kill() {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, &m_status, 0);
            m_pid = -1;
        }
    }
    int get_status() const { return m_status; }
    bool is_ready() const {
        const auto peer = connect_to(m_ready);
        message answer;
        return peer && peer->write("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
               peer->read_head(answer, 1) && answer.status() == 200;
    }
    bool wait_until_ready(double limit) {
        const double until = seconds() + limit;
        while (seconds() < until && !has_ended()) {
            if (is_ready()) {
                return true;
            }
            pause(0.05);
        }
        return false;
    }
    /// The resident memory in kB.
    long get_memory_kb() const {
        FILE* file = std::fopen(("/proc/" + std::to_string(m_pid) + "/statm").c_str(), "r");
        long total = 0;
        long resident = 0;
        if (file != nullptr) {
            if (std::fscanf(file, "%ld %ld", &total, &resident) != 2) {
                resident = 0;
            }
            std::fclose(file);
        }
        return resident * (sysconf(_SC_PAGESIZE) / 1024);
    }
    const std::string& name() const { return m_name; }
    const address& callers() const { return m_callers; }
    const address& hosts() const { return m_hosts; }
    const address& metrics() const { return m_metrics; }
    const machine_limits& limits() const { return m_limits; }
    pid_t pid() const { return m_pid; }

private:
    /// Ports are the same on all machines of a day.
    static int hosts_port() {
        static const int port = free_port("127.0.0.1");
        return port;
    }

    std::string m_program;
    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    address m_store;
    address m_cloud;
    machine_limits m_limits;
    address m_callers;
    address m_ready;
    address m_metrics;
    address m_hosts;
    pid_t m_pid{-1};
    int m_status{0};
    int m_starts{0};
};

// --- Runs ----------------------------------------------------------------------------------------------------------

/// The frame of a script: arguments PROGRAM RECORD; the trouble is on unless TROUBLE=0.
struct run_frame {
    run_frame(int argc, char** argv) {
        ::signal(SIGPIPE, SIG_IGN);
        if (argc < 3) {
            std::fprintf(stderr, "usage: %s DAEMON RECORD\n", argv[0]);
            std::exit(2);
        }
        program = argv[1];
        open_record(argv[2]);
        const char* wish = std::getenv("TROUBLE");
        has_trouble = wish == nullptr || std::string(wish) != "0";
        char name[] = "/tmp/review-XXXXXX";
        folder = ::mkdtemp(name);
        note("trouble %s", has_trouble ? "on" : "off");
    }
    /// Ends the script. Call after the daemons have ended.
    [[noreturn]] void end(int code) const {
        if (std::getenv("KEEP") == nullptr) {
            const std::string command = "rm -rf " + folder;
            if (std::system(command.c_str()) != 0) {
                note("the temporary folder stays");
            }
        }
        note("exit %d (%s)", code, code == 0 ? "the rule held" : (code == 1 ? "the rule was broken" : "could not run"));
        std::fflush(nullptr);
        ::_exit(code);
    }
    std::string program;
    std::string folder;
    bool has_trouble{true};
};

} // namespace kit
