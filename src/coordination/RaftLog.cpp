#include "damasklink/coordination/RaftLog.h"

#include <cassert>
#include <utility>

namespace damasklink {

RaftLog::RaftLog(SnapshotPtr aSnapshot, std::vector<LogEntry> aEntries)
{
  this->Reset(std::move(aSnapshot));
  for (LogEntry& entry : aEntries) {
    this->Append(std::move(entry));
  }
}

LogIndex
RaftLog::LastIndex() const
{
  return LogIndex(this->baseIndex.Value() + this->entries.size());
}

Term
RaftLog::LastTerm() const
{
  return this->entries.empty() ? this->baseTerm : this->entries.back().term;
}

std::optional<Term>
RaftLog::TermAt(LogIndex aIndex) const
{
  if (aIndex == this->baseIndex) {
    return this->baseTerm;
  }
  if (aIndex < this->baseIndex || aIndex > this->LastIndex()) {
    return std::nullopt;
  }
  return this->At(aIndex).term;
}

const LogEntry&
RaftLog::At(LogIndex aIndex) const
{
  assert(aIndex > this->baseIndex && aIndex <= this->LastIndex());
  return this->entries[aIndex.Value() - this->baseIndex.Value() - 1];
}

std::vector<LogEntry>
RaftLog::From(LogIndex aFirst, std::size_t aMaxBytes) const
{
  std::vector<LogEntry> taken;
  std::size_t bytes = 0;
  for (LogIndex index = aFirst; index <= this->LastIndex(); index = index.Next()) {
    const LogEntry& entry = this->At(index);
    bytes += entry.command.size();
    if (!taken.empty() && bytes > aMaxBytes) {
      break;
    }
    taken.push_back(entry);
  }
  return taken;
}

std::uint64_t
RaftLog::BytesAfter(LogIndex aIndex) const
{
  std::uint64_t after = 0;
  for (auto entry = this->entries.rbegin(); entry != this->entries.rend(); ++entry) {
    if (entry->index <= aIndex) {
      break;
    }
    after += entry->command.size();
  }
  return after;
}

void
RaftLog::Append(LogEntry aEntry)
{
  assert(aEntry.index == this->LastIndex().Next());
  if (aEntry.kind == EntryKind::Membership) {
    this->memberships.push_back(MembershipEntry{ aEntry.index, aEntry.membership });
  }
  this->bytes += aEntry.command.size();
  this->entries.push_back(std::move(aEntry));
}

void
RaftLog::TruncateFrom(LogIndex aIndex)
{
  assert(aIndex > this->baseIndex);
  while (this->LastIndex() >= aIndex) {
    this->bytes -= this->entries.back().command.size();
    this->entries.pop_back();
  }
  while (this->memberships.size() > 1 && this->memberships.back().index >= aIndex) {
    this->memberships.pop_back();
  }
}

void
RaftLog::Compact(SnapshotPtr aSnapshot, std::uint64_t aMaxTrailing, std::uint64_t aMaxTrailingBytes)
{
  assert(aSnapshot->index <= this->LastIndex() && aSnapshot->index >= this->baseIndex);
  this->snapshot = std::move(aSnapshot);
  const std::uint64_t newer = this->BytesAfter(this->snapshot->index);
  while (this->baseIndex < this->snapshot->index &&
         (this->baseIndex.Value() + aMaxTrailing < this->snapshot->index.Value() ||
          this->bytes - newer > aMaxTrailingBytes)) {
    this->baseIndex = this->entries.front().index;
    this->baseTerm = this->entries.front().term;
    this->bytes -= this->entries.front().command.size();
    this->entries.pop_front();
  }
  while (this->memberships.size() > 1 && this->memberships[1].index <= this->snapshot->index) {
    this->memberships.erase(this->memberships.begin());
  }
}

void
RaftLog::Reset(SnapshotPtr aSnapshot)
{
  this->snapshot = std::move(aSnapshot);
  this->entries.clear();
  this->bytes = 0;
  this->memberships.clear();
  if (this->snapshot == nullptr) {
    this->memberships.push_back(MembershipEntry{});
    return;
  }
  this->baseIndex = this->snapshot->index;
  this->baseTerm = this->snapshot->term;
  this->memberships.push_back(MembershipEntry{ this->baseIndex, this->snapshot->membership });
}

const Membership&
RaftLog::MembershipAt(LogIndex aIndex) const
{
  for (auto position = this->memberships.rbegin(); position != this->memberships.rend();
       ++position) {
    if (position->index <= aIndex) {
      return position->membership;
    }
  }
  return this->memberships.front().membership;
}

} // namespace damasklink
