#pragma once

#include <cstdio>
#include <filesystem>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <unistd.h>

#include <pollenwall/net/tls.h>

/// Keys and certificates made for tests.
namespace pollenwall::test {

/// A key and its certificate, made for the test.
struct Pair
{
  EVP_PKEY* mKey = nullptr;
  X509* mCertificate = nullptr;
};

inline Pair MakePair(const char* aName, const Pair* aIssuer)
{
  Pair pair;
  pair.mKey = EVP_EC_gen("P-256");
  pair.mCertificate = X509_new();
  X509_set_version(pair.mCertificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(pair.mCertificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(pair.mCertificate), -3600);
  X509_gmtime_adj(X509_getm_notAfter(pair.mCertificate), 3600);
  X509_set_pubkey(pair.mCertificate, pair.mKey);
  auto* name = X509_get_subject_name(pair.mCertificate);
  X509_NAME_add_entry_by_txt(
    name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(aName), -1, -1, 0);
  const auto& issuer = aIssuer == nullptr ? pair : *aIssuer;
  X509_set_issuer_name(pair.mCertificate, X509_get_subject_name(issuer.mCertificate));
  if (aIssuer == nullptr) {
    auto* extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "CA:TRUE");
    X509_add_ext(pair.mCertificate, extension, -1);
    X509_EXTENSION_free(extension);
  }
  X509_sign(pair.mCertificate, issuer.mKey, EVP_sha256());
  return pair;
}

inline void Free(Pair& aPair)
{
  EVP_PKEY_free(aPair.mKey);
  X509_free(aPair.mCertificate);
}

/// PEM files of one process, in a folder of their own.
struct Files
{
  explicit Files(const char* aName)
  {
    mFolder = std::filesystem::temp_directory_path() /
              ("pollenwall-tls-test-" + std::to_string(::getpid()) + "-" + aName);
    std::filesystem::create_directories(mFolder);
    mFiles = { (mFolder / "certificate.pem").string(),
               (mFolder / "key.pem").string(),
               (mFolder / "authority.pem").string() };
  }
  ~Files() { std::filesystem::remove_all(mFolder); }
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;

  void Write(const Pair& aPair, const Pair& aAuthority) const
  {
    auto* file = std::fopen(mFiles.mCertificate.c_str(), "w");
    PEM_write_X509(file, aPair.mCertificate);
    std::fclose(file);
    file = std::fopen(mFiles.mKey.c_str(), "w");
    PEM_write_PrivateKey(file, aPair.mKey, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    file = std::fopen(mFiles.mAuthority.c_str(), "w");
    PEM_write_X509(file, aAuthority.mCertificate);
    std::fclose(file);
  }

  std::filesystem::path mFolder;
  net::TlsFiles mFiles;
};

} // namespace pollenwall::test
