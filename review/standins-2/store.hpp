#ifndef REVIEW_STANDINS_2_STORE_HPP
#define REVIEW_STANDINS_2_STORE_HPP

// Stand-in of the platform's store, by the pages: items, watches, transactions, leases.

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.hpp"

namespace review {

using Json = nlohmann::json;

inline std::string EncodeBase64(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = (value << 8U) |
              (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= aText.size() ? kDigits[(value >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return out;
}

class Store
{
public:
  Store()
    : mListener(Listen(0))
  {
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { ExpireLeases(); }).detach();
  }

  int Port() const { return PortOf(mListener); }

  /// Writes an item as the operator or a worker does; returns its revision.
  std::int64_t Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    return PutItem(aKey, EncodeBase64(aValue), 0);
  }
  /// What a worker wrote last about itself; empty if nothing.
  std::string WorkerRecord(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    return mWorkerRecords[aId];
  }

private:
  struct Lease
  {
    Clock::time_point mEnd;
    std::int64_t mTtlMs;
  };
  struct Reply
  {
    int mStatus;
    Json mBody;
  };

  std::int64_t PutItem(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
  {
    const auto known = mItems.find(aKey);
    const std::int64_t created =
      known == mItems.end() ? mRevision + 1 : known->second["createRev"].get<std::int64_t>();
    ++mRevision;
    const Json item{ { "key", aKey },
                     { "value", aValue },
                     { "revision", mRevision },
                     { "createRev", created },
                     { "lease", aLease } };
    mItems[aKey] = item;
    mHistory.push_back(item);
    mChanged.notify_all();
    return mRevision;
  }
  void RemoveItem(const std::string& aKey)
  {
    mItems.erase(aKey);
    ++mRevision;
    mHistory.push_back({ { "key", aKey }, { "revision", mRevision }, { "tombstone", true } });
    mChanged.notify_all();
  }
  void EndLease(std::int64_t aLease)
  {
    mLeases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (item["lease"] == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveItem(key);
    }
  }
  void ExpireLeases()
  {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      const std::lock_guard lock(mMutex);
      std::vector<std::int64_t> ended;
      for (const auto& [id, lease] : mLeases) {
        if (lease.mEnd < Clock::now()) {
          ended.push_back(id);
        }
      }
      for (const std::int64_t id : ended) {
        EndLease(id);
      }
    }
  }
  void Accept()
  {
    for (;;) {
      const int fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }
  void Serve(int aFd)
  {
    Connection connection(aFd);
    while (auto request = ReadHead(connection, std::chrono::minutes(5))) {
      if (!ReadBody(connection, *request, std::chrono::seconds(10))) {
        return;
      }
      Reply reply{ 500, Json::object() };
      try {
        reply = Answer(*request);
      } catch (const std::exception&) {
        reply = { 400, Json::object() };
      }
      if (!connection.Send(Response(
            reply.mStatus, "Content-Type: application/json\r\n", reply.mBody.dump()))) {
        return;
      }
    }
  }

  static std::string Unescape(const std::string& aText)
  {
    std::string out;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += aText[i];
      }
    }
    return out;
  }
  static std::map<std::string, std::string> QueryOf(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      const std::size_t next = aTarget.find('&', at + 1);
      const std::string pair = aTarget.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const std::size_t equal = pair.find('=');
      if (equal != std::string::npos) {
        query[pair.substr(0, equal)] = Unescape(pair.substr(equal + 1));
      }
      at = next;
    }
    return query;
  }

  Reply Answer(const Message& aRequest)
  {
    const std::string target = aRequest.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    auto query = QueryOf(target);
    std::unique_lock lock(mMutex);
    if (path == "/kv-watch") {
      const auto end = Clock::now() + std::chrono::milliseconds(std::stoll(query["waitMs"]));
      const std::int64_t after = std::stoll(query["after"]);
      for (;;) {
        Json events = Json::array();
        for (const Json& item : mHistory) {
          if (item["revision"].get<std::int64_t>() > after &&
              item["key"].get<std::string>().rfind(query["pathPrefix"], 0) == 0) {
            events.push_back(item);
          }
        }
        if (!events.empty() || Clock::now() >= end) {
          return { 200, { { "events", events }, { "storeRevision", mRevision } } };
        }
        mChanged.wait_until(lock, end);
      }
    }
    if (path == "/kv-range") {
      Json items = Json::array();
      for (const auto& [key, item] : mItems) {
        if (key.rfind(query["pathPrefix"], 0) == 0 && key > query["after"]) {
          items.push_back(item);
        }
      }
      return { 200, { { "items", items }, { "truncated", false }, { "storeRevision", mRevision } } };
    }
    if (path == "/kv-key") {
      const auto it = mItems.find(query["key"]);
      if (it == mItems.end()) {
        return { 404, { { "storeRevision", mRevision } } };
      }
      Json item = it->second;
      item["storeRevision"] = mRevision;
      return { 200, item };
    }
    if (path == "/kv-txn") {
      return Transact(Json::parse(aRequest.mBody));
    }
    if (path == "/kv-lease") {
      const std::int64_t ttl = Json::parse(aRequest.mBody).at("ttlMs").get<std::int64_t>();
      const std::int64_t id = ++mLastLease;
      mLeases[id] = { Clock::now() + std::chrono::milliseconds(ttl), ttl };
      return { 200, { { "lease", id }, { "ttlMs", ttl } } };
    }
    const std::string keep = "/kv-keep/";
    const std::string finish = "/kv-lease-end/";
    if (path.rfind(keep, 0) == 0) {
      const auto it = mLeases.find(std::stoll(path.substr(keep.size())));
      if (it == mLeases.end()) {
        return { 404, Json::object() };
      }
      it->second.mEnd = Clock::now() + std::chrono::milliseconds(it->second.mTtlMs);
      return { 200, { { "ttlMs", it->second.mTtlMs } } };
    }
    if (path.rfind(finish, 0) == 0) {
      const std::int64_t id = std::stoll(path.substr(finish.size()));
      if (mLeases.count(id) == 0) {
        return { 404, Json::object() };
      }
      EndLease(id);
      return { 200, Json::object() };
    }
    // What a worker writes about itself; not a call of the system's.
    const std::string server = "/worker/";
    if (path.rfind(server, 0) == 0) {
      const std::string id = path.substr(server.size());
      PutItem("servers/" + id, EncodeBase64(aRequest.mBody), 0);
      mWorkerRecords[id] = aRequest.mBody;
      return { 200, Json::object() };
    }
    return { 404, Json::object() };
  }

  Reply Transact(const Json& aRequest)
  {
    Json found = Json::array();
    bool holds = true;
    for (const Json& row : aRequest.at("precondition")) {
      const auto it = mItems.find(row.at("key").get<std::string>());
      const std::int64_t revision =
        it == mItems.end() ? 0 : it->second["revision"].get<std::int64_t>();
      holds = holds && revision == row.at("revision").get<std::int64_t>();
      if (it != mItems.end()) {
        found.push_back(it->second);
      }
    }
    if (!holds) {
      return { 412, { { "items", found }, { "storeRevision", mRevision } } };
    }
    for (const Json& row : aRequest.at("writes")) {
      const std::int64_t lease = row.value("lease", std::int64_t{ 0 });
      if (lease != 0 && mLeases.count(lease) == 0) {
        return { 404, Json::object() };
      }
      const std::string key = row.at("key").get<std::string>();
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
        return { 403, Json::object() };
      }
    }
    for (const Json& row : aRequest.at("writes")) {
      PutItem(row.at("key").get<std::string>(),
              row.at("value").get<std::string>(),
              row.value("lease", std::int64_t{ 0 }));
    }
    for (const Json& key : aRequest.at("remove")) {
      if (mItems.count(key.get<std::string>()) > 0) {
        RemoveItem(key.get<std::string>());
      }
    }
    return { 200, { { "revision", mRevision } } };
  }

  int mListener;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Json> mItems;
  std::map<std::string, std::string> mWorkerRecords;
  std::vector<Json> mHistory;
  std::int64_t mRevision{ 100 };
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mLastLease{ 7000 };
};

}

#endif
