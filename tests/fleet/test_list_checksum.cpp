#include "fleet/list_checksum.hpp"

#include <doctest/doctest.h>

using dragonflywell::fleet::list_checksum;

TEST_CASE("lists of the same content have the same checksum, in whatever order it came") {
    list_checksum first;
    list_checksum second;
    CHECK(first.set("a", 1));
    CHECK(first.set("b", 2));
    CHECK(first.set("c", 3));
    CHECK(second.set("c", 9));
    CHECK(second.set("b", 2));
    CHECK(second.set("c", 3));
    CHECK(second.set("a", 1));
    CHECK(first.get() == second.get());
    CHECK_FALSE(first.set("a", 1));
    CHECK(first.get() == second.get());
}

TEST_CASE("a state, a key or a removal that is missing changes the checksum") {
    list_checksum list;
    list.set("a", 1);
    const std::uint64_t one = list.get();
    list.set("a", 2);
    CHECK(list.get() != one);
    list.set("a", 1);
    CHECK(list.get() == one);
    list.set("b", 1);
    CHECK(list.get() != one);
    CHECK(list.erase("b"));
    CHECK_FALSE(list.erase("b"));
    CHECK(list.get() == one);
    list.clear();
    CHECK(list.get() == list_checksum().get());
}
