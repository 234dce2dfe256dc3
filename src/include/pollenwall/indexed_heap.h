#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

/// A binary heap that tracks the position of each element, so that any element can be changed or
/// removed in logarithmic time. Removing an arbitrary element takes a constant number of moves on
/// average, because the last element, which replaces it, mostly belongs near the bottom.
/// `SetPosition(id, position)` stores an element's position, or kNotInHeap when it is removed.
namespace pollenwall::heap {

inline constexpr std::uint32_t kNotInHeap = std::numeric_limits<std::uint32_t>::max();

template<typename Key>
struct Item
{
  Key mKey;
  std::uint32_t mId = 0;
};

template<typename Key>
struct Heap
{
  std::vector<Item<Key>> mItems; ///< The least key is first.
  std::uint64_t mMoves = 0;      ///< Elements moved so far, to measure the cost of operations.
};

template<typename Key, typename SetPosition>
void Place(Heap<Key>& aHeap, std::size_t aAt, Item<Key> aItem, SetPosition aSetPosition)
{
  aSetPosition(aItem.mId, static_cast<std::uint32_t>(aAt));
  aHeap.mItems[aAt] = std::move(aItem);
  ++aHeap.mMoves;
}

/// Places the item at the free position aAt or, to restore the heap order, above or below it.
template<typename Key, typename SetPosition>
void Sift(Heap<Key>& aHeap, std::size_t aAt, Item<Key> aItem, SetPosition aSetPosition)
{
  auto& items = aHeap.mItems;
  while (aAt > 0 && aItem.mKey < items[(aAt - 1) / 2].mKey) {
    Place(aHeap, aAt, std::move(items[(aAt - 1) / 2]), aSetPosition);
    aAt = (aAt - 1) / 2;
  }
  for (std::size_t child = 2 * aAt + 1; child < items.size(); child = 2 * aAt + 1) {
    if (child + 1 < items.size() && items[child + 1].mKey < items[child].mKey) {
      ++child;
    }
    if (!(items[child].mKey < aItem.mKey)) {
      break;
    }
    Place(aHeap, aAt, std::move(items[child]), aSetPosition);
    aAt = child;
  }
  Place(aHeap, aAt, std::move(aItem), aSetPosition);
}

template<typename Key, typename SetPosition>
void Push(Heap<Key>& aHeap, Key aKey, std::uint32_t aId, SetPosition aSetPosition)
{
  aHeap.mItems.emplace_back();
  Sift(aHeap, aHeap.mItems.size() - 1, Item<Key>{ std::move(aKey), aId }, aSetPosition);
}

template<typename Key, typename SetPosition>
void UpdateKey(Heap<Key>& aHeap, std::uint32_t aPosition, Key aKey, SetPosition aSetPosition)
{
  const auto id = aHeap.mItems[aPosition].mId;
  Sift(aHeap, aPosition, Item<Key>{ std::move(aKey), id }, aSetPosition);
}

template<typename Key, typename SetPosition>
void Remove(Heap<Key>& aHeap, std::uint32_t aPosition, SetPosition aSetPosition)
{
  aSetPosition(aHeap.mItems[aPosition].mId, kNotInHeap);
  auto last = std::move(aHeap.mItems.back());
  aHeap.mItems.pop_back();
  if (aPosition < aHeap.mItems.size()) {
    Sift(aHeap, aPosition, std::move(last), aSetPosition);
  }
}

} // namespace pollenwall::heap
