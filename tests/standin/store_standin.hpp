#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "servers/http_handler.hpp"

namespace dragonflywell::standin {

/// A stand-in for the platform's store: keyed topics with one partition each, in memory.
///
/// Thread safe, so that a test can write like the operator while daemons run in other threads.
class store_standin final : public servers::http_handler {
public:
    servers::asio::awaitable<void> handle(servers::http_request request, servers::caller_channel& caller) override;
    void on_malformed(servers::http::status /*status*/) override {}

    /// Appends a record like another writer. An empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Drops all records except the newest of each key.
    void drop_history(const std::string& topic);

    /// Keeps a copy of all topics as they are, in place of the previous copy.
    void take_copy();
    /// Sets all topics back to the copy and raises the era. Without a copy, all topics are empty afterwards.
    void restore(std::uint64_t eras = 1);
    /// Drops the records of the named topics beyond the given numbers of records, and raises the era. Other topics keep
    /// all their records.
    void restore_to(const std::map<std::string, std::size_t>& kept_records, std::uint64_t eras = 1);

    /// Sets the era that every response names in the header `Store-Era`.
    void set_era(std::uint64_t era);
    /// Makes every response carry this text in place of the era. An empty text leaves the header out.
    void set_era_text(std::string text);
    [[nodiscard]] std::uint64_t get_era() const;
    /// Adds the header with the era to a response that is made in front of this stand-in.
    void add_era(servers::http_response& response) const;

    /// Makes the listing of a topic return its present state from now on, like a replica that lags behind.
    void freeze_listing(const std::string& topic);
    void thaw_listing(const std::string& topic);

    /// Sets whether every call is refused with status 503.
    void set_refusing(bool is_refusing);

    /// Limits how many records a read returns.
    void set_page_records(std::size_t most) { m_page_records = most; }

    /// Limits how many keys a page of a listing has.
    void set_listing_page_keys(std::size_t most) { m_listing_page_keys = most; }

    /// Returns the newest value of a key, or nothing.
    [[nodiscard]] std::optional<std::string> get(const std::string& topic, const std::string& key);
    /// Returns all values that were ever written to a topic, in order.
    [[nodiscard]] std::vector<std::string> get_history(const std::string& topic);
    [[nodiscard]] std::uint64_t get_calls() const noexcept;

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic {
        std::vector<record> records;
        /// Offset of the oldest kept record. Of the records before it only the newest of each key is kept.
        std::uint64_t first{0};
    };

    [[nodiscard]] servers::http_response make_response(const servers::http_request& request);
    [[nodiscard]] servers::http_response make_call_response(const servers::http_request& request);
    /// Precondition: the caller holds the mutex.
    void set_era_header(servers::http_response& response) const;
    [[nodiscard]] servers::http_response append(topic& log, const std::string& body, std::optional<std::uint64_t> at);
    [[nodiscard]] servers::http_response read(const topic& log, std::uint64_t from) const;
    [[nodiscard]] servers::http_response list(const topic& log, const std::string& after) const;

    mutable std::mutex m_mutex;
    std::map<std::string, topic> m_topics;
    /// State of the topics at the time when their listing was frozen.
    std::map<std::string, topic> m_frozen;
    std::map<std::string, topic> m_copy;
    std::uint64_t m_era{1};
    /// Replaces the number of the era in responses.
    std::optional<std::string> m_era_text;
    std::uint64_t m_calls{0};
    bool m_is_refusing{false};
    std::size_t m_page_records{1000};
    std::size_t m_listing_page_keys{3};
};

} // namespace dragonflywell::standin
