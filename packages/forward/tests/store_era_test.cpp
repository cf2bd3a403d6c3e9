#include "bulrushpitch/forward/store_era.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

TEST_CASE("the first era is no restore, and a later one is a restore once") {
  StoreEraTracker Eras;
  CHECK_FALSE(Eras.observe(StoreEra(4)));
  CHECK_FALSE(Eras.observe(StoreEra(4)));
  CHECK(Eras.observe(StoreEra(5)) == StoreEra(4));
  CHECK_FALSE(Eras.observe(StoreEra(5)));
  CHECK(Eras.restores() == 1);
}

TEST_CASE("several restores between two responses are noticed as one") {
  StoreEraTracker Eras;
  Eras.observe(StoreEra(1));
  CHECK(Eras.observe(StoreEra(3)) == StoreEra(1));
  CHECK(Eras.restores() == 1);
}

// Guards against a late response that takes the era back.
TEST_CASE("a response of an older era that arrives last is not accepted and changes nothing") {
  StoreEraTracker Eras;
  Eras.observe(StoreEra(1));
  Eras.observe(StoreEra(2));
  CHECK_FALSE(Eras.observe(StoreEra(1)));
  CHECK(Eras.current() == StoreEra(2));
  CHECK(Eras.isStale(StoreEra(1)));
  CHECK_FALSE(Eras.accepts(StoreEra(1), std::nullopt));
  CHECK_FALSE(Eras.accepts(StoreEra(1), StoreCursor{StoreEra(1), 9}));
}

// Guards against changes missed because their versions are given out a second time.
TEST_CASE("a watch from a cursor of an older era is not accepted, a snapshot of the current era is") {
  StoreEraTracker Eras;
  Eras.observe(StoreEra(1));
  CHECK(Eras.accepts(StoreEra(1), StoreCursor{StoreEra(1), 9}));
  Eras.observe(StoreEra(2));
  CHECK_FALSE(Eras.accepts(StoreEra(2), StoreCursor{StoreEra(1), 9}));
  CHECK(Eras.accepts(StoreEra(2), std::nullopt));
  CHECK(Eras.accepts(StoreEra(2), StoreCursor{StoreEra(2), 3}));
}

TEST_CASE("a store that states no era is never taken for restored") {
  StoreEraTracker Eras;
  CHECK(Eras.accepts(StoreEra(), std::nullopt));
  CHECK_FALSE(Eras.observe(StoreEra()));
  CHECK_FALSE(Eras.observe(StoreEra()));
  CHECK(Eras.accepts(StoreEra(), StoreCursor{StoreEra(), 9}));
  CHECK(Eras.restores() == 0);
}
