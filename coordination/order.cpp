#include "coordination/order.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

template <typename Enum>
using name_entry = std::pair<Enum, std::string_view>;

constexpr std::array<name_entry<receiver_kind>, 2> receiver_names{{
    {receiver_kind::checks_fencing, "checks_fencing"},
    {receiver_kind::ignores_fencing, "ignores_fencing"},
}};

constexpr std::array<name_entry<duplicate_handling>, 3> duplicate_handling_names{{
    {duplicate_handling::never, "never"},
    {duplicate_handling::idempotent, "idempotent"},
    {duplicate_handling::deduplicated, "deduplicated"},
}};

constexpr std::array<name_entry<send_outcome>, 6> outcome_names{{
    {send_outcome::applied, "applied"},
    {send_outcome::rejected, "rejected"},
    {send_outcome::stale_fencing_number, "refused_old_number"},
    {send_outcome::not_sent, "not_sent"},
    {send_outcome::found_applied, "seen_applied"},
    {send_outcome::sender_terminated, "sender_gone"},
}};

template <typename Enum, std::size_t Count>
std::string_view get_name(const std::array<name_entry<Enum>, Count>& names, Enum value) {
    const auto* const found =
        std::ranges::find_if(names, [value](const name_entry<Enum>& entry) { return entry.first == value; });
    return found->second;
}

template <typename Enum, std::size_t Count>
Enum get_value(const std::array<name_entry<Enum>, Count>& names, std::string_view name) {
    const auto* const found =
        std::ranges::find_if(names, [name](const name_entry<Enum>& entry) { return entry.second == name; });
    if (found == names.end()) {
        throw malformed_message_error("unknown value in an order record: " + std::string(name));
    }
    return found->first;
}

} // namespace

boost::json::object encode_order(const order& value) {
    if (!has_no_fractions(value.body)) {
        throw malformed_message_error("order " + value.idempotency_key +
                                      " contains a fraction; only whole numbers are exact");
    }
    return {{"subject", value.subject},
            {"kind", value.kind},
            {"body", value.body},
            {"key", value.idempotency_key},
            {"receiver", get_name(receiver_names, value.receiver)},
            {"repeat", get_name(duplicate_handling_names, value.duplicates)}};
}

order decode_order(const boost::json::object& body) {
    order value{.subject = json::get_string(body, "subject"),
                .kind = json::get_string(body, "kind"),
                .body = json::get_object(body, "body"),
                .idempotency_key = json::get_string(body, "key"),
                .receiver = get_value(receiver_names, json::get_string(body, "receiver")),
                .duplicates = get_value(duplicate_handling_names, json::get_string(body, "repeat"))};
    if (!has_no_fractions(value.body)) {
        throw malformed_message_error("order contains a fraction; only whole numbers are exact");
    }
    return value;
}

boost::json::object encode_outcome(const order_outcome& value) {
    return {{"subject", value.subject}, {"intent", value.intent}, {"outcome", get_name(outcome_names, value.outcome)}};
}

order_outcome decode_outcome(const boost::json::object& body) {
    return {.subject = json::get_string(body, "subject"),
            .intent = json::get_unsigned(body, "intent"),
            .outcome = get_value(outcome_names, json::get_string(body, "outcome"))};
}

} // namespace dragonflywell::coordination
